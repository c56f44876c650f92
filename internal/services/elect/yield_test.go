package elect_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxHandover is the time from the first refused heartbeat until another instance leads. The last stored one may be
	// half a second older.
	maxHandover = 1300 * time.Millisecond
	// callTime is how long a request to yield takes each way.
	callTime = time.Millisecond
)

func (n *network) askYield(
	ctx context.Context, address string, epoch uint64, cores float64,
) (*jobpb.YieldResponse, error) {
	tick.Pause(ctx, callTime)
	p := n.process(address)
	if p == nil {
		return nil, fault.New(fault.CodeNotSent, fault.NotRun, "no such process")
	}
	answer := p.AnswerYield(tick.Now(), epoch, cores)
	tick.Pause(ctx, callTime)
	return answer, nil
}

// startPair starts a leader a and another instance b.
func startPair(t *testing.T, n *network) (first, second *process, term elect.Term) {
	t.Helper()
	log := newLog(t)
	first = n.start(t, log, "a", 1, 0)
	term = <-first.terms
	second = n.start(t, log, "b", 1, 0)
	time.Sleep(2 * time.Second)
	return first, second, term
}

// TestLeaderRefusedByStoreYields checks a leader that alone does not reach the store, which refuses it or does not
// answer. Without a handover, the others wait for the election timeout and for its leadership lease.
func TestLeaderRefusedByStoreYields(t *testing.T) {
	for name, f := range map[string]memlog.Faults{"refused": {Down: true}, "unanswered": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second, former := startPair(t, newNetwork())
				first.view.SetFaults(f)
				began := tick.Now()
				term := <-second.terms
				took := tick.Now().Sub(began)
				assert.Assert(t, took <= maxHandover, "took %v", took)
				assert.Assert(t, !first.IsLeader(tick.Now()), "two leaders act")
				assert.Equal(t, term.PreviousEpoch, former.Epoch)
				left := term.ExecutorLeasesExpireAt.Sub(tick.Now())
				assert.Assert(t, left <= maxExecutorLease, "executor leases are awaited for %v", left)
				first.view.SetFaults(memlog.Faults{})
				time.Sleep(5 * time.Second)
				assert.Assert(t, second.IsLeader(tick.Now()))
				assert.Assert(t, !first.IsLeader(tick.Now()))
			})
		})
	}
}

// TestLeaderKeepsLeadWhileStoreIsDown checks that nobody takes the lead while the store answers nobody.
func TestLeaderKeepsLeadWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, _ := startPair(t, newNetwork())
		for _, f := range []memlog.Faults{{Down: true}, {Unresponsive: true}} {
			for _, p := range []*process{first, second} {
				p.view.SetFaults(f)
			}
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				assert.Assert(t, first.IsLeader(tick.Now()))
			}
			for _, p := range []*process{first, second} {
				p.view.SetFaults(memlog.Faults{})
			}
			time.Sleep(3 * time.Second)
			assert.Assert(t, first.IsLeader(tick.Now()))
		}
		assert.Equal(t, len(second.terms), 0)
	})
}

// TestLeaderYieldsOnlyItsOwnTermWithoutHeartbeats checks requests that are wrong or late.
func TestLeaderYieldsOnlyItsOwnTermWithoutHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := newNetwork(), newLog(t)
		first := n.start(t, log, "a", 1, 0)
		term := <-first.terms
		second := n.start(t, log, "b", 1, 0)
		time.Sleep(2 * time.Second)
		n.set("a", nil)
		assert.Assert(t, !first.Yield(tick.Now(), term.Epoch, 1), "heartbeats are stored")
		heartbeat := awaitRecord(log)
		first.view.SetFaults(memlog.Faults{Down: true})
		time.Sleep(1350 * time.Millisecond)
		assert.Assert(t, !first.Yield(tick.Now(), term.Epoch+1, 1))
		assert.Assert(t, !first.Yield(tick.Now(), 0, 1))
		assert.Assert(t, !second.Yield(tick.Now(), term.Epoch, 1), "another instance cannot answer for the leader")
		assert.Assert(t, first.IsLeader(tick.Now()))
		assert.Assert(t, first.Yield(tick.Now(), term.Epoch, 1))
		assert.Assert(t, !first.IsLeader(tick.Now()))
		assert.Assert(t, !first.IsSoleLeader(tick.Now()))
		assert.Assert(t, first.Yield(tick.Now(), term.Epoch, 1), "a repeated request gets the same answer")
		next := <-second.terms
		assert.Assert(t, next.ExecutorLeasesExpireAt.Sub(heartbeat) >= maxExecutorLease,
			"an instance that got no answer waits for the leases that were granted after the last heartbeat")
	})
}

// TestLostAnswerOfYieldIsAskedAgain checks that the handover survives the loss of one answer.
func TestLostAnswerOfYieldIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		first, second, term := startPair(t, n)
		first.view.SetFaults(memlog.Faults{Down: true})
		time.Sleep(820 * time.Millisecond)
		// The leader has yielded to a request whose answer was lost.
		assert.Assert(t, first.Yield(tick.Now(), term.Epoch, 1) || !first.IsLeader(tick.Now()))
		next := <-second.terms
		assert.Assert(t, next.ExecutorLeasesExpireAt.Sub(tick.Now()) <= maxExecutorLease)
	})
}

// TestInstanceThatCannotAppendDoesNotAsk checks that the leader keeps the lead if the store answers reads only.
func TestInstanceThatCannotAppendDoesNotAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, _ := startPair(t, newNetwork())
		for _, p := range []*process{first, second} {
			p.refusesAppends.Store(true)
		}
		time.Sleep(4 * time.Second)
		assert.Assert(t, first.IsLeader(tick.Now()))
	})
}

// TestHeartbeatStoredAfterYieldRenewsNoLease checks a heartbeat that is under way when the leader yields.
func TestHeartbeatStoredAfterYieldRenewsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		first, second, term := startPair(t, n)
		second.stop()
		first.view.SetFaults(memlog.Faults{AppendTime: 850 * time.Millisecond})
		for !first.Yield(tick.Now(), term.Epoch, 1) {
			time.Sleep(10 * time.Millisecond)
		}
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			assert.Assert(t, !first.IsLeader(tick.Now()))
		}
	})
}

// TestLeasesOfEarlierLeadersAreAwaited checks three leaders in short succession: the second one hands over while leases
// that the first and it have granted may still last.
func TestLeasesOfEarlierLeadersAreAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		first := start(t, log, "a", 1, 0)
		<-first.terms
		second := start(t, log, "b", 1, 0)
		third := start(t, log, "c", 1, 500*time.Millisecond)
		time.Sleep(2 * time.Second)
		first.stop()
		claim := awaitRecord(log)
		<-second.terms
		second.Resign()
		term := <-third.terms
		wait := term.ExecutorLeasesExpireAt.Sub(claim)
		assert.Assert(t, wait >= maxExecutorLease, "waits %v", wait)
	})
}

// TestSmallInstanceKeepsLeadBesideLargerOnes guards against a leader that is too small for the fleet and leads as long
// as it lives, because it was the first to claim.
func TestSmallInstanceKeepsLeadBesideLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := newNetwork(), newLog(t)
		small := n.start(t, log, "small", 0.2, 0)
		former := <-small.terms
		large, larger := n.start(t, log, "large", 0.8, 0), n.start(t, log, "larger", 0.9, 0)
		time.Sleep(3 * time.Second)
		assert.Assert(t, !small.IsLeader(tick.Now()))
		assert.Assert(t, large.IsLeader(tick.Now()) != larger.IsLeader(tick.Now()), "one of the two leads")
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(large.terms)+len(larger.terms)+len(small.terms), 1, "the lead does not change again")
		var term elect.Term
		select {
		case term = <-large.terms:
		case term = <-larger.terms:
		}
		assert.Equal(t, term.PreviousEpoch, former.Epoch)
	})
}

// TestLargerInstanceWithoutStoreLeavesTheLead checks that an instance which the store refuses takes no lead over.
func TestLargerInstanceWithoutStoreLeavesTheLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := newNetwork(), newLog(t)
		small := n.start(t, log, "small", 0.2, 0)
		<-small.terms
		large := n.start(t, log, "large", 0.8, 0)
		large.view.SetFaults(memlog.Faults{Down: true})
		time.Sleep(20 * time.Second)
		assert.Assert(t, small.IsLeader(tick.Now()))
		large.view.SetFaults(memlog.Faults{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, large.IsLeader(tick.Now()))
	})
}
