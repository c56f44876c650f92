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
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxStoreTime is the longest time from the sending of a record until awaitRecord returns.
	maxStoreTime = 6 * time.Millisecond
	// maxReadDelay is the longest time from the sending of a record until another instance has read it.
	maxReadDelay = 50 * time.Millisecond
)

// awaitRecord waits until the next election record is stored and returns the earliest time of its sending.
func awaitRecord(log *memlog.Log) tick.Time {
	end := log.Records(logs.Election, 0)
	for log.Records(logs.Election, 0) == end {
		time.Sleep(time.Millisecond)
	}
	return tick.Now().Add(-maxStoreTime)
}

// checkWait checks that executor leases are awaited for one lease from the heartbeat, which was read at the time read.
func checkWait(t *testing.T, term elect.Term, heartbeat, read tick.Time) {
	t.Helper()
	longest := term.ExecutorLeasesExpireAt.Sub(read)
	assert.Assert(t, longest <= maxExecutorLease+maxReadDelay, "waits until %v after the last heartbeat", longest)
	shortest := term.ExecutorLeasesExpireAt.Sub(heartbeat)
	assert.Assert(t, shortest >= maxExecutorLease, "waits only until %v after the last heartbeat", shortest)
}

// TestLossOfLeaderIsAwaitedForTwoLeases guards against awaiting a leadership lease before the executor lease.
func TestLossOfLeaderIsAwaitedForTwoLeases(t *testing.T) {
	for name, lose := range map[string]func(p *process){
		"killed":  func(p *process) { p.stop() },
		"refused": func(p *process) { p.view.SetFaults(memlog.Faults{Down: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newLog(t)
				first := start(t, log, "a", 1, 0)
				<-first.terms
				second := start(t, log, "b", 1, 0)
				time.Sleep(2 * time.Second)
				heartbeat := awaitRecord(log)
				lose(first)
				checkWait(t, <-second.terms, heartbeat, heartbeat)
			})
		})
	}
}

// TestYieldedTermIsAwaitedFromTheYield guards against counting leases from the yield and not from the last heartbeat.
func TestYieldedTermIsAwaitedFromTheYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, log := newNetwork(), newLog(t)
		first := n.start(t, log, "a", 1, 0)
		<-first.terms
		second := n.start(t, log, "b", 1, 0)
		time.Sleep(2 * time.Second)
		heartbeat := awaitRecord(log)
		first.view.SetFaults(memlog.Faults{Down: true})
		term := <-second.terms
		assert.Assert(t, tick.Now().Sub(heartbeat) < maxHandover, "the former leader has not yielded")
		checkWait(t, term, heartbeat, heartbeat)
	})
}

// TestResignationIsAwaitedFromItsRecord guards against counting leases from the resignation, not the last heartbeat.
func TestResignationIsAwaitedFromItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		first := start(t, log, "a", 1, 0)
		<-first.terms
		second := start(t, log, "b", 1, 0)
		time.Sleep(2 * time.Second)
		heartbeat := awaitRecord(log)
		time.Sleep(400 * time.Millisecond)
		first.Resign()
		checkWait(t, <-second.terms, heartbeat, heartbeat)
	})
}

// TestLeaderBeforeResignedOneIsAwaitedForTwoLeases guards against awaiting the leadership lease of an earlier leader.
func TestLeaderBeforeResignedOneIsAwaitedForTwoLeases(t *testing.T) {
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
		checkWait(t, <-third.terms, claim, claim)
	})
}

// TestNewProcessAwaitsOldRecordsForTwoLeases guards against counting leadership leases from the reading of old records.
func TestNewProcessAwaitsOldRecordsForTwoLeases(t *testing.T) {
	for name, trim := range map[string]func(l *memlog.Log){
		"retained":     func(*memlog.Log) {},
		"not_retained": func(l *memlog.Log) { l.Trim(logs.Election, 0) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := newLog(t)
				for _, name := range []string{"a", "b", "c"} {
					p := start(t, log, name, 1, 0)
					<-p.terms
					time.Sleep(time.Second)
					if name == "b" {
						trim(log)
					}
					awaitRecord(log)
					p.stop()
				}
				heartbeat := tick.Now().Add(-maxStoreTime)
				time.Sleep(time.Second)
				began := tick.Now()
				checkWait(t, <-start(t, log, "d", 1, 0).terms, heartbeat, began)
			})
		})
	}
}

// TestLeaderOfFormerVersionIsAwaitedForOneLease guards against too short a wait for a leader that grants longer leases.
func TestLeaderOfFormerVersionIsAwaitedForOneLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, at := newLog(t), logs.Offset(0)
		b, err := proto.Marshal(&jobpb.Lead{Instance: "old", Address: "old", Epoch: 1, Process: 1, RecordedSince: 1})
		assert.NilError(t, err)
		sent := tick.Now()
		_, err = log.View().Append(t.Context(), logs.Election, 0, []logs.Record{{Value: b}}, logs.Condition{At: &at})
		assert.NilError(t, err)
		for _, name := range []string{"a", "b"} {
			p := start(t, log, name, 1, 0)
			wait := (<-p.terms).ExecutorLeasesExpireAt.Sub(sent)
			assert.Assert(t, wait >= elect.LeaseDuration+maxExecutorLease, "%s waits only for %v", name, wait)
			time.Sleep(time.Second)
			p.stop()
		}
	})
}

// TestLateResignationHidesLeasesOfSuccessor guards against the resignation of a leader that is stored after the claim
// of its successor, whose leases it does not count.
func TestLateResignationHidesLeasesOfSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		lease := uint64(maxExecutorLease / time.Millisecond)
		appendRecords(
			t, log,
			&jobpb.Lead{Instance: "a", Address: "a", Epoch: 1, Process: 1, ExecutorLeaseMs: lease},
			&jobpb.Lead{Instance: "b", Address: "b", Epoch: 2, Process: 2, ExecutorLeaseMs: lease, FormerLeasesMs: 1},
			&jobpb.Lead{Instance: "a", Epoch: 1, Process: 1, Resigned: true, ExecutorLeaseMs: 1},
		)
		began := tick.Now()
		wait := (<-start(t, log, "c", 1, 0).terms).ExecutorLeasesExpireAt.Sub(began)
		assert.Assert(t, wait >= maxExecutorLease, "waits only for %v", wait)
	})
}
