package elect_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// gate is a process's access to the log whose calls a test intercepts.
type gate struct {
	logs.Log
	// resets makes appends take effect and end at once without a response.
	resets atomic.Bool
	// delay makes appends take effect only after the time, without a response.
	delay atomic.Int64
	// drops makes appends hang without effect.
	drops atomic.Bool
	// hangsAppends and hangsReads are how many of the next calls hang without effect.
	hangsAppends, hangsReads atomic.Int64
}

// take decrements the counter and reports whether it was positive.
func take(n *atomic.Int64) bool { return n.Load() > 0 && n.Add(-1) >= 0 }

// Append implements logs.Log.
func (g *gate) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	unknown := fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer")
	switch {
	case len(records) > 0 && g.drops.Load(), take(&g.hangsAppends):
		<-ctx.Done()
		return 0, unknown
	case g.resets.Load():
		_, _ = g.Log.Append(ctx, t, p, records, c)
		return 0, unknown
	case g.delay.Load() > 0:
		time.AfterFunc(time.Duration(g.delay.Load()), func() {
			_, _ = g.Log.Append(context.Background(), t, p, records, c)
		})
		<-ctx.Done()
		return 0, unknown
	}
	return g.Log.Append(ctx, t, p, records, c)
}

// Read implements logs.Log.
func (g *gate) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if take(&g.hangsReads) {
		<-ctx.Done()
		return logs.Page{}, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer")
	}
	return g.Log.Read(ctx, t, p, from, wait)
}

// gated is a process with intercepted access to the log.
type gated struct {
	*process
	gate *gate
}

func (n *network) startGated(t *testing.T, log *memlog.Log, name string, edit func(g *gate)) gated {
	t.Helper()
	p := &process{terms: make(chan elect.Term, 64), view: log.View()}
	g := &gate{Log: p.view}
	edit(g)
	n.set(name, p)
	p.Elector = elect.New(elect.Options{
		AskYield: n.askYield, Log: g, Instance: name, Address: name, Cores: 1,
		MaxExecutorLease: maxExecutorLease, IsEligible: func() bool { return true },
		RunTerm: func(ctx context.Context, term elect.Term) error {
			p.terms <- term
			<-ctx.Done()
			return ctx.Err()
		},
		Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ctx) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(p.stop)
	return gated{p, g}
}

func noEdit(*gate) {}

// TestHeartbeatIsRepeatedAfterLostConnections checks a leader whose heartbeat and the call after it are lost with their
// connections. The heartbeat must be repeated before the others ask for the lead.
func TestHeartbeatIsRepeatedAfterLostConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.startGated(t, log, "a", noEdit)
		<-first.terms
		second := n.startGated(t, log, "b", noEdit)
		third := n.startGated(t, log, "i0", noEdit)
		time.Sleep(5 * time.Second)
		first.gate.hangsAppends.Store(1)
		first.gate.hangsReads.Store(1)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, first.IsLeader(tick.Now()))
		}
		assert.Equal(t, len(second.terms)+len(third.terms), 0)
	})
}

// TestOneOfTwoClaimsWithoutAnswerIsRecognized checks two instances that send claims for the same offset and epoch, both
// without an answer. If one took the claim of the other for its own, two leaders would act.
func TestOneOfTwoClaimsWithoutAnswerIsRecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.startGated(t, log, "a", noEdit)
		<-first.terms
		// With a delay of 0.3 s, the claims of all ranks are sent for the same offset.
		all := []gated{}
		for _, name := range []string{"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"} {
			all = append(all, n.startGated(t, log, name, noEdit))
		}
		time.Sleep(2 * time.Second)
		for _, p := range all {
			p.gate.delay.Store(int64(300 * time.Millisecond))
		}
		first.stop()
		acting := 0
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			now := 0
			for _, p := range all {
				if p.IsSoleLeader(tick.Now()) {
					now++
				}
			}
			assert.Assert(t, now <= 1, "%d sole leaders", now)
			acting += now
		}
		assert.Assert(t, acting > 0, "no instance recognized its claim")
	})
}

// TestLateClaimOfFormerProcessIsNotRecognized checks a claim of a former process of the instance that is stored late,
// at the offset for which the new process has sent its own claim.
func TestLateClaimOfFormerProcessIsNotRecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.startGated(t, log, "a", noEdit)
		<-first.terms
		former := n.startGated(t, log, "b", noEdit)
		time.Sleep(2 * time.Second)
		former.gate.delay.Store(int64(4 * time.Second))
		first.stop()
		time.Sleep(2200 * time.Millisecond)
		end := log.Records(logs.Election, 0)
		former.stop()
		next := n.startGated(t, log, "b", func(g *gate) { g.delay.Store(int64(5 * time.Second)) })
		for log.Records(logs.Election, 0) == end {
			time.Sleep(time.Millisecond)
		}
		next.gate.delay.Store(0)
		time.Sleep(300 * time.Millisecond)
		term := <-next.terms
		assert.Assert(t, term.Epoch > uint64(end)+1, "epoch %d of the former process", term.Epoch)
		assert.Equal(t, term.PreviousEpoch, uint64(end)+1)
	})
}

// TestLeaseOfRepeatedClaimCountsFromItsFirstSending checks a claim that was sent twice for an offset and is stored
// once: either may be the stored one, so that the lease counts from the first.
func TestLeaseOfRepeatedClaimCountsFromItsFirstSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.startGated(t, log, "a", noEdit)
		<-first.terms
		second := n.startGated(t, log, "b", noEdit)
		time.Sleep(2 * time.Second)
		// The claim is stored 0.7 s after it was sent for the first time, after its second repeat was sent.
		second.gate.delay.Store(int64(700 * time.Millisecond))
		first.stop()
		end := log.Records(logs.Election, 0)
		for log.Records(logs.Election, 0) == end {
			time.Sleep(time.Millisecond)
		}
		storedAt := tick.Now()
		second.gate.delay.Store(0)
		second.gate.drops.Store(true)
		time.Sleep(elect.LeaseDuration - 700*time.Millisecond + 20*time.Millisecond)
		assert.Assert(t, !second.IsLeader(tick.Now()), "the lease lasts for %v after the storing", tick.Now().Sub(storedAt))
	})
}

// TestRecordsStartAnewAfterFormerVersion checks a leader of a version that does not state recorded_since between two
// that do: it may have started tasks without a term record.
func TestRecordsStartAnewAfterFormerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.startGated(t, log, "a", noEdit)
		one := <-first.terms
		assert.Equal(t, one.RecordedSince, uint64(0))
		first.Resign()
		second := n.startGated(t, log, "b", noEdit)
		two := <-second.terms
		assert.Equal(t, two.RecordedSince, one.Epoch)
		second.stop()
		third := n.startGated(t, log, "c", noEdit)
		three := <-third.terms
		assert.Equal(t, three.RecordedSince, one.Epoch, "a leader that was lost")
		third.stop()
		at := logs.Offset(log.Records(logs.Election, 0))
		b, err := proto.Marshal(&jobpb.Lead{Instance: "old", Address: "old", Epoch: uint64(at) + 1})
		assert.NilError(t, err)
		_, err = log.View().Append(t.Context(), logs.Election, 0, []logs.Record{{Value: b}}, logs.Condition{At: &at})
		assert.NilError(t, err)
		fourth := n.startGated(t, log, "d", noEdit)
		four := <-fourth.terms
		assert.Equal(t, four.RecordedSince, uint64(0), "after a former version")
		fourth.stop()
		fifth := n.startGated(t, log, "e", noEdit)
		assert.Equal(t, (<-fifth.terms).RecordedSince, four.Epoch)
		// The present leader ends its term, and leads again after a former version.
		fifth.gate.drops.Store(true)
		at = logs.Offset(log.Records(logs.Election, 0))
		b, err = proto.Marshal(&jobpb.Lead{Instance: "old", Address: "old", Epoch: uint64(at) + 1})
		assert.NilError(t, err)
		_, err = log.View().Append(t.Context(), logs.Election, 0, []logs.Record{{Value: b}}, logs.Condition{At: &at})
		assert.NilError(t, err)
		time.Sleep(time.Second)
		fifth.gate.drops.Store(false)
		again := <-fifth.terms
		assert.Equal(t, again.PreviousEpoch, uint64(at)+1)
		assert.Equal(t, again.RecordedSince, uint64(0))
		fifth.stop()
		sixth := n.startGated(t, log, "f", noEdit)
		assert.Equal(t, (<-sixth.terms).RecordedSince, again.Epoch)
	})
}

// TestLeaderWithoutAnswersKeepsLeadBesideEachRank checks that heartbeats that are stored without an answer follow each
// other soon enough that no instance, whatever its rank, asks the leader to yield.
func TestLeaderWithoutAnswersKeepsLeadBesideEachRank(t *testing.T) {
	seen := map[uint64]bool{}
	for i := 0; len(seen) < 10; i++ {
		name := fmt.Sprintf("i%d", i)
		rank := xxhash.Sum64String(name) % 10
		if seen[rank] {
			continue
		}
		seen[rank] = true
		t.Run(fmt.Sprintf("rank%d", rank), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				log := newLog(t)
				first := n.start(t, log, "a", 1, 0)
				<-first.terms
				second := n.start(t, log, name, 1, 0)
				time.Sleep(2 * time.Second)
				first.view.SetFaults(memlog.Faults{LoseAnswers: 1})
				began := tick.Now()
				for tick.Now().Sub(began) < 3*elect.LeaseDuration {
					time.Sleep(100 * time.Millisecond)
					assert.Assert(t, first.IsLeader(tick.Now()), "the lead ended after %v", tick.Now().Sub(began))
				}
				assert.Equal(t, len(second.terms), 0)
			})
		})
	}
}
