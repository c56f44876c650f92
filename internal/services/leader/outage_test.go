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

// callerPatience is how long a caller waits, less the part that is reserved for the response.
const callerPatience = 2900 * time.Millisecond

// setFaults sets the faults of the log for all instances.
func (s *system) setFaults(f memlog.Faults) {
	for _, n := range s.instances {
		n.view.SetFaults(f)
	}
}

// submit submits a job with the deadline of a caller.
func (s *system) submit(n *instance, id int) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), callerPatience)
	defer cancel()
	return n.intake.Accept(ctx, s.job(id))
}

// TestSubmissionsDuringOutageAreRefusedAtOnce guards against submissions as probes of a store that resets connections:
// each instance got less than one request a second, so that every one of them was sent, reset and answered as unknown.
func TestSubmissionsDuringOutageAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{Broken: true})
		time.Sleep(200 * time.Millisecond)
		for id := range 12 {
			n := s.instances[id%3]
			started := time.Now()
			err := s.submit(n, id)
			assert.Assert(t, fault.IsErrNotRun(err), "job %d: %v", id, err)
			assert.Assert(t, fault.From(err).RetryAfter > 0)
			assert.Assert(t, time.Since(started) < 20*time.Millisecond, "a refusal took %v", time.Since(started))
			time.Sleep(300 * time.Millisecond)
		}
		s.setFaults(memlog.Faults{})
		time.Sleep(200 * time.Millisecond)
		for id := range 3 {
			s.accept(s.instances[id], 100+id)
		}
		time.Sleep(3 * time.Second)
		for id := range 12 {
			_, known := s.state(first, id)
			assert.Assert(t, !known, "refused job %d is known", id)
		}
	})
}
