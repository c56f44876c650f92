package leader_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/tick"
)

// storePause is how long the log does not answer a leader, so that another instance takes over from it.
const storePause = 8 * time.Second

// startPausable starts three instances and a long-running task. The access of the first one, which leads, to the log
// can be paused.
func (r *rig) startPausable() (first *rigNode, p *pause, executor string) {
	p = &pause{}
	r.wrapLog = func(l logs.Log) logs.Log { return pausedLog{l, p} }
	first = r.startNodes(1)
	r.wrapLog = func(l logs.Log) logs.Log { return l }
	r.start("n1")
	r.start("n2")
	time.Sleep(2 * time.Second)
	executor = r.submitLongRunning(1)
	r.awaitHeartbeat()
	return first, p, executor
}

// lose makes the executor no longer respond. It returns the time.
func (r *rig) lose(executor string) time.Time {
	r.calls.edit(func() { r.calls.silent[executor] = true })
	return time.Now()
}

// TestLateResignationStartsTaskTwice guards against a third leader that relies on what the first one states after the
// second one has taken over and extended leases.
func TestLateResignationStartsTaskTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, p, executor := r.startPausable()
		p.begin(storePause)
		time.Sleep(storePause - time.Second)
		first.elector.Resign()
		time.Sleep(950 * time.Millisecond)
		r.checkRestart(jobID(1), r.lose(executor))
	})
}

// TestLateResignationDeposesSuccessor guards against a resignation that ends the term of the next leader, with which
// the wait for a lost executor begins anew.
func TestLateResignationDeposesSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first, p, executor := r.startPausable()
		p.begin(storePause)
		time.Sleep(storePause / 2)
		lostAt := r.lose(executor)
		time.Sleep(storePause/2 - time.Second)
		first.elector.Resign()
		r.checkRestart(jobID(1), lostAt)
	})
}

// slowFenceLog delays the appends of leaders, the first of which fences former leaders.
type slowFenceLog struct {
	logs.Log
	delay *atomic.Int64
}

// Append implements logs.Log.
func (l slowFenceLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	if t == logs.Progress {
		tick.Pause(ctx, time.Duration(l.delay.Load()))
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// TestTermThatEndsInTakeoverBeginsWaitAnew guards against a leader that states nothing, because its term ends before it
// has taken over.
func TestTermThatEndsInTakeoverBeginsWaitAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		delay := &atomic.Int64{}
		r.wrapLog = func(l logs.Log) logs.Log { return slowFenceLog{l, delay} }
		first := r.startNodes(4)
		executor := r.submitLongRunning(1)
		r.awaitHeartbeat()
		lostAt := r.lose(executor)
		time.Sleep(4 * time.Second)
		delay.Store(int64(500 * time.Millisecond))
		first.elector.Resign()
		second := r.awaitOtherLeader(first)
		time.Sleep(300 * time.Millisecond)
		second.elector.Resign()
		time.Sleep(100 * time.Millisecond)
		delay.Store(0)
		r.checkRestart(jobID(1), lostAt)
	})
}

// awaitOtherLeader waits until another instance leads.
func (r *rig) awaitOtherLeader(former *rigNode) *rigNode {
	for {
		for _, n := range r.nodes {
			if n != former && n.elector.IsLeader(tick.Now()) {
				return n
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// TestTermStatesEndsOfFormerTerm guards against stating the ends of an older term of the same instance.
func TestTermStatesEndsOfFormerTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.startNodes(2)
		r.submitLongRunning(1)
		first.elector.Resign()
		r.awaitOtherLeader(first)
		time.Sleep(time.Second)
		assert.Assert(t, len(first.leader.LeaseEnds(1)) > 0, "the ends of its own term are known")
		assert.Equal(t, len(first.leader.LeaseEnds(2)), 0, "it knows nothing of another term")
	})
}
