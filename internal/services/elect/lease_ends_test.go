package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/pkg/tick"
)

// stateEnds has the process state a lease of the executor x that ends in 3 s. It returns the end.
func (p *process) stateEnds() tick.Time {
	at := tick.Now().Add(3 * time.Second)
	p.ends = expiry.Times{"x": at}
	return at
}

// checkEnds checks that the term knows the end of the lease of x.
func checkEnds(t *testing.T, term elect.Term, at tick.Time) {
	t.Helper()
	got, ok := term.LeaseEnds["x"]
	assert.Assert(t, ok, "the end of the lease is unknown")
	assert.Assert(t, !got.Before(at), "the lease counts as ended %v too early", at.Sub(got))
	assert.Assert(t, got.Sub(at) <= maxReadDelay, "the lease is awaited for %v too long", got.Sub(at))
}

// TestSuccessorAwaitsLeasesThatHaveEnded guards against a leader that ends its term without stating when leases end.
func TestSuccessorAwaitsLeasesThatHaveEnded(t *testing.T) {
	for name, end := range map[string]func(p *process){
		"resigned": func(p *process) { p.Resign() },
		"yielded":  func(p *process) { p.view.SetFaults(memlog.Faults{Down: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second, _ := startPair(t, newNetwork())
				at := first.stateEnds()
				end(first)
				checkEnds(t, <-second.terms, at)
			})
		})
	}
}

// TestEndsStatedBeforeAnotherTerm guards against a leader that relies on what a leader before the last one has
// stated, as that one has granted further leases.
func TestEndsStatedBeforeAnotherTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := newNetwork(), newLog(t)
		first := n.start(t, log, "a", 1, 0)
		<-first.terms
		second := n.start(t, log, "b", 1, 0)
		third := n.start(t, log, "c", 1, 500*time.Millisecond)
		time.Sleep(2 * time.Second)
		at := first.stateEnds()
		first.Resign()
		checkEnds(t, <-second.terms, at)
		second.stop()
		term := <-third.terms
		assert.Equal(t, len(term.LeaseEnds), 0, "%v", term.LeaseEnds)
	})
}
