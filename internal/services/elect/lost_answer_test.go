package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxElection is the time from the loss of the leader until another instance claims.
const maxElection = 2 * time.Second

// maxClaimRecognition is the time from a claim that is stored without an answer until the instance leads. Long-running
// tasks on executors whose leases nobody extends end after maxExecutorLease.
const maxClaimRecognition = 500 * time.Millisecond

// TestClaimWithoutAnswerLeads checks an instance whose appends take effect while their answers are lost. If it does not
// recognize its claim in the log, nobody leads: the others wait for it.
func TestClaimWithoutAnswerLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, former := startPair(t, newNetwork())
		second.view.SetFaults(memlog.Faults{LoseAnswers: 1})
		first.stop()
		time.Sleep(maxElection + maxClaimRecognition)
		assert.Equal(t, len(second.terms), 1, "terms after a claim without an answer")
		term := <-second.terms
		assert.Equal(t, term.PreviousEpoch, former.Epoch)
		assert.Assert(t, second.IsLeader(tick.Now()))
	})
}

// TestLeaderWithoutAnswersToHeartbeatsKeepsLead checks that the heartbeats that a leader reads in the log extend its
// leadership lease: while the others see them, nobody else claims.
func TestLeaderWithoutAnswersToHeartbeatsKeepsLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, _ := startPair(t, newNetwork())
		first.view.SetFaults(memlog.Faults{LoseAnswers: 1})
		began := tick.Now()
		for tick.Now().Sub(began) < 3*elect.LeaseDuration {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, first.IsLeader(tick.Now()), "the lease ended after %v", tick.Now().Sub(began))
		}
		assert.Equal(t, len(second.terms), 0)
	})
}

// TestLeaderWithoutAnswerToClaimIsNotReplaced checks that an instance that recognizes its claim in the log sends its
// next heartbeat before the others ask it to yield, 0.8 s after the claim.
func TestLeaderWithoutAnswerToClaimIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		log := newLog(t)
		first := n.start(t, log, "a", 1, 0)
		<-first.terms
		second := n.start(t, log, "b", 1, 0)
		third := n.start(t, log, "c", 1, 300*time.Millisecond)
		time.Sleep(2 * time.Second)
		second.view.SetFaults(memlog.Faults{LoseAnswers: 1})
		first.stop()
		time.Sleep(maxElection + maxClaimRecognition)
		for range 50 {
			assert.Assert(t, second.IsLeader(tick.Now()))
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(third.terms), 0)
	})
}
