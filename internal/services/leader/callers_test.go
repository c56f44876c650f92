package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

func TestAnyInstanceServesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		for id := range 6 {
			s.accept(s.instances[id%3], id)
		}
		time.Sleep(3 * time.Second)
		for _, n := range s.instances {
			s.checkCompleted(n, 6)
		}
	})
}

func TestCancelStopsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		n := s.instances[1]
		s.accept(n, 0)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, s.fleet.Running() > 0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		assert.NilError(t, n.intake.Cancel(ctx, jobID(0)))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, s.fleet.Running(), 0)
		for _, i := range s.instances {
			st, known := s.state(i, 0)
			assert.Assert(t, known)
			assert.Equal(t, st, jobpb.State_STATE_CANCELLED)
		}
	})
}
