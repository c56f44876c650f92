package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/fault"
)

func TestStoreOutageKeepsLeaderAndJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 5 {
			s.accept(first, id)
		}
		s.setFaults(memlog.Faults{Down: true})
		// The outage is shorter than elect.LeaseDuration.
		time.Sleep(4 * time.Second)
		assert.Assert(t, s.leader() == first)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		started := time.Now()
		err := first.intake.Accept(ctx, s.job(99))
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		assert.Assert(t, fault.From(err).RetryAfter > 0)
		assert.Assert(t, time.Since(started) < 100*time.Millisecond, "a refusal took %v", time.Since(started))
		s.setFaults(memlog.Faults{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, s.leader() == first)
		s.checkCompleted(first, 5)
		_, known := s.state(first, 99)
		assert.Assert(t, !known, "a rejected job is known")
	})
}

func TestUnresponsiveStoreFailsFastAfterFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{Unresponsive: true})
		err := s.submit(first, 0)
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "the outcome must be reported as unknown: %v", err)
		refused := 0
		for id := 1; id < 10; id++ {
			started := time.Now()
			err := s.submit(first, id)
			if fault.IsErrNotRun(err) {
				assert.Assert(t, time.Since(started) < 20*time.Millisecond, "a refusal took %v", time.Since(started))
				assert.Assert(t, fault.From(err).RetryAfter > 0)
				refused++
			}
		}
		assert.Assert(t, refused >= 7, "%d of 9 were refused at once", refused)
	})
}

func TestInstanceRejectedByStoreForwardsToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		n := s.others(first)[0]
		n.view.SetFaults(memlog.Faults{Down: true})
		s.accept(n, 0)
		time.Sleep(2 * time.Second)
		s.checkCompleted(s.leader(), 1)
	})
}

func TestLostStoreResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{LoseAnswers: 0.35})
		accepted := 0
		var refused []int
		for id := range 12 {
			err := s.submit(s.instances[id%3], id)
			if err == nil {
				accepted++
				continue
			}
			if fault.IsErrNotRun(err) {
				refused = append(refused, id)
			}
		}
		s.setFaults(memlog.Faults{})
		time.Sleep(8 * time.Second)
		assert.Assert(t, accepted >= 10, "accepted %d of 12", accepted)
		assert.Equal(t, len(refused), 0, "a job that may be stored is said not to run: %v", refused)
		s.checkCompleted(s.leader(), 12)
	})
}
