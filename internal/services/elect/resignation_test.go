package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TestResignationAfterHeartbeatWithoutAnswerIsStored checks an instance that stops just after a heartbeat that was
// stored without an answer. If its resignation conflicts with the heartbeat and is not repeated, the others wait for
// the election timeout and for its leadership lease.
func TestResignationAfterHeartbeatWithoutAnswerIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.startGated(t, log, "a", noEdit)
		<-first.terms
		second := n.startGated(t, log, "b", noEdit)
		time.Sleep(2 * time.Second)
		first.gate.resets.Store(true)
		end := log.Records(logs.Election, 0)
		for log.Records(logs.Election, 0) == end {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * time.Millisecond)
		first.gate.resets.Store(false)
		began := tick.Now()
		first.Resign()
		term := <-second.terms
		took := tick.Now().Sub(began)
		left := term.ExecutorLeasesExpireAt.Sub(tick.Now())
		assert.Assert(t, took < time.Second, "another instance leads after %v", took)
		assert.Assert(t, left <= maxExecutorLease, "executor leases are awaited for %v", left)
	})
}
