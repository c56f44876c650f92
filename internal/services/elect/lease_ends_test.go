package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
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
	got, ok := term.StatedLeaseEnds["x"]
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
		assert.Equal(t, len(term.StatedLeaseEnds), 0, "%v", term.StatedLeaseEnds)
	})
}

// appendRecords stores election records from the start of the log on.
func appendRecords(t *testing.T, log *memlog.Log, list ...*jobpb.Lead) {
	t.Helper()
	for i, l := range list {
		at := logs.Offset(i)
		b, err := proto.Marshal(l)
		assert.NilError(t, err)
		_, err = log.View().Append(t.Context(), logs.Election, 0, []logs.Record{{Value: b}}, logs.Condition{At: &at})
		assert.NilError(t, err)
	}
}

// TestLateResignationStatesEndsOfSuccessor guards against relying on what a leader states behind the claim of its
// successor, which has granted further leases.
func TestLateResignationStatesEndsOfSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		lease := uint64(maxExecutorLease / time.Millisecond)
		appendRecords(
			t, log,
			&jobpb.Lead{Instance: "a", Address: "a", Epoch: 1, Process: 1, ExecutorLeaseMs: lease},
			&jobpb.Lead{Instance: "b", Address: "b", Epoch: 2, Process: 2, ExecutorLeaseMs: lease, FormerLeasesMs: 1},
			&jobpb.Lead{
				Instance: "a", Epoch: 1, Process: 1, Resigned: true, ExecutorLeaseMs: 1,
				ExecutorLeases: []*jobpb.ExecutorLease{{Executor: "x"}},
			},
		)
		term := <-start(t, log, "c", 1, 0).terms
		assert.Equal(t, term.PreviousEpoch, uint64(2))
		assert.Equal(t, len(term.StatedLeaseEnds), 0, "%v", term.StatedLeaseEnds)
	})
}
