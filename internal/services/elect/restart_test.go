package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

// TestRestartedLeaderAwaitsNoLeadershipLeaseOfItsFormerProcess checks a leader whose process is replaced. The former
// process has ended, so that it can grant no lease after the start of the new one.
func TestRestartedLeaderAwaitsNoLeadershipLeaseOfItsFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		first := start(t, log, "a", 1, 0)
		<-first.terms
		time.Sleep(3 * time.Second)
		first.stop()
		time.Sleep(300 * time.Millisecond)
		began := tick.Now()
		term := <-start(t, log, "a", 1, 0).terms
		wait := term.ExecutorLeasesExpireAt.Sub(began)
		assert.Assert(t, wait <= maxExecutorLease+50*time.Millisecond, "waits %v", wait)
	})
}
