package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/stand/memex"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxRestart is how long after the last loss a long-running task must have started again.
	maxRestart = 7 * time.Second
	// secondLossAt is when a second leader is lost after the first one.
	secondLossAt = 3500 * time.Millisecond
)

// submitLongRunning submits a job of one long-running task and returns the executor on which it starts.
func (r *rig) submitLongRunning(id int) (ranOn string) {
	r.t.Helper()
	r.calls.edit(func() { r.calls.onStart = func(t orders.Target, _ orders.Start) { ranOn = t.ID } })
	j := rigJob(id, &jobpb.Step{LongRunning: true})
	j.Spec = memex.Behavior{LongRunning: true}.Spec()
	r.submit(j)
	r.awaitStart(jobID(id))
	r.calls.edit(func() { r.calls.onStart = func(orders.Target, orders.Start) {} })
	assert.Equal(r.t, r.calls.starts(jobID(id)), 1)
	time.Sleep(2 * time.Second)
	return ranOn
}

// awaitHeartbeat waits until the next election record is stored.
func (r *rig) awaitHeartbeat() {
	end := func() (o logs.Offset) {
		r.log.edit(logs.Election, func(p *fastPart) { o = p.end() })
		return o
	}
	for before := end(); end() == before; {
		time.Sleep(time.Millisecond)
	}
}

// loseWithExecutor ends the leader right after a heartbeat, and the executor no longer responds. It returns the time.
func (r *rig) loseWithExecutor(first *rigNode, executor string, isDelisted bool) time.Time {
	r.awaitHeartbeat()
	lostAt := time.Now()
	first.kill()
	r.calls.edit(func() { r.calls.silent[executor] = true })
	if isDelisted {
		r.record(logs.Backends, executor, nil)
	}
	return lostAt
}

// checkRestart checks that the task of the job starts again soon after the loss, and not beside its former run.
func (r *rig) checkRestart(job string, lostAt time.Time) {
	r.t.Helper()
	assert.Equal(r.t, r.calls.starts(job), 1, "the task starts again too early")
	r.awaitStart(job)
	took := time.Since(lostAt)
	assert.Equal(r.t, len(r.fleet.Violations()), 0, "%v", r.fleet.Violations())
	assert.Assert(r.t, took <= maxRestart, "the task starts again %v after the loss", took)
}

// leaderNow returns the instance that leads.
func (r *rig) leaderNow() *rigNode {
	r.t.Helper()
	for _, n := range r.nodes {
		if n.elector.IsSoleLeader(tick.Now()) {
			return n
		}
	}
	r.t.Fatal("no leader")
	return nil
}

// TestTaskOfLostExecutorWaitsForTwoLeases guards against a task that also waits for the leadership lease.
func TestTaskOfLostExecutorWaitsForTwoLeases(t *testing.T) {
	for name, isDelisted := range map[string]bool{"listed": false, "delisted": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				first := r.startNodes(3)
				executor := r.submitLongRunning(1)
				lostAt := r.loseWithExecutor(first, executor, isDelisted)
				r.checkRestart(jobID(1), lostAt)
			})
		})
	}
}

// TestSecondLossOfLeaderBeginsWaitAnew guards against a wait for an executor that the second leader never reached.
func TestSecondLossOfLeaderBeginsWaitAnew(t *testing.T) {
	for name, isNew := range map[string]bool{"running": false, "new_process": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				first := r.startNodes(2)
				if !isNew {
					r.start("third")
				}
				executor := r.submitLongRunning(1)
				lostAt := r.loseWithExecutor(first, executor, false)
				time.Sleep(secondLossAt)
				r.leaderNow().kill()
				if isNew {
					r.start("third")
				}
				r.checkRestart(jobID(1), lostAt)
			})
		})
	}
}

// TestTaskStartsBesideRunThatSecondLeaderExtended guards against relying on the first loss if the second leader, which
// stored records of it or not, has reached the executor.
func TestTaskStartsBesideRunThatSecondLeaderExtended(t *testing.T) {
	for name, wrapLog := range map[string]func(l logs.Log) logs.Log{
		"recorded":   func(l logs.Log) logs.Log { return l },
		"unrecorded": func(l logs.Log) logs.Log { return progressRefusal{l} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				first := r.startNodes(1)
				executor := r.submitLongRunning(1)
				r.wrapLog = wrapLog
				second := r.start("second")
				time.Sleep(time.Second)
				first.kill()
				time.Sleep(secondLossAt)
				r.wrapLog = func(l logs.Log) logs.Log { return l }
				r.start("third")
				assert.Equal(t, r.leaderNow(), second)
				r.checkRestart(jobID(1), r.loseWithExecutor(second, executor, false))
			})
		})
	}
}

// TestDoneTaskStartsAgainSoonerThanItsExecutorReturns guards against a second run of a task that was done on an
// executor which does not respond for 8 s from the loss of the leader on.
func TestDoneTaskStartsAgainSoonerThanItsExecutorReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.startNodes(3)
		var ranOn string
		r.calls.edit(func() { r.calls.onStart = func(t orders.Target, _ orders.Start) { ranOn = t.ID } })
		r.submit(rigJob(1, &jobpb.Step{}))
		r.awaitStart(jobID(1))
		first.kill()
		r.calls.edit(func() { r.calls.silent[ranOn] = true })
		time.Sleep(8 * time.Second)
		r.calls.edit(func() { r.calls.silent[ranOn] = false })
		time.Sleep(5 * time.Second)
		assert.Equal(t, r.calls.starts(jobID(1)), 1, "%v", r.fleet.Violations())
	})
}
