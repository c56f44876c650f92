package leader

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxPlanWait is how long planLoop waits for a wake-up before it plans anyway. minPlanPause and maxPlanPause are the
	// shortest and the longest pause after a plan.
	maxPlanWait  = 100 * time.Millisecond
	minPlanPause = 10 * time.Millisecond
	maxPlanPause = 50 * time.Millisecond
	// planPauseFactor is the ratio of the pause after a plan to the time that the plan took.
	planPauseFactor = 9
)

// planLoop plans and sends the orders of the cell.
func (t *term) planLoop(ctx context.Context) {
	timer := time.NewTimer(maxPlanWait)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.planWake:
		case <-timer.C:
		}
		started := tick.Now()
		if t.opts.HoldsLease(started) {
			t.plan(ctx)
		}
		planned := tick.Now()
		pause := planPause(planned.Sub(started))
		tick.Pause(ctx, pause)
		t.notePlanPause(pause, tick.Now().Sub(planned)-pause)
		timer.Reset(maxPlanWait)
	}
}

// planPause returns the pause after a plan. It grows with the time that the plan took, to leave processor time for
// handling the replies that planning needs. It is at most maxPlanPause, because that time includes the suspensions of a
// process that has used up its processor quota.
func planPause(took time.Duration) time.Duration {
	return min(maxPlanPause, max(minPlanPause, planPauseFactor*took))
}

// notePlanPause counts a pause and how late it ended.
func (t *term) notePlanPause(pause, late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.planTimes.pausing += pause
	t.planTimes.late.add(0, late)
}

func (t *term) plan(ctx context.Context) {
	called := tick.Now()
	t.mu.Lock()
	now := tick.Now()
	t.noteTerm(t.cell)
	t.applyEvacuations(now)
	room := t.startRoom(now)
	list := t.cell.Plan(now, tick.Wall().UnixMilli(), cell.PlanLimits{
		MaxStarts: room, IsSoleLeader: t.opts.IsSoleLeader(now),
		IsStoreStalled: t.storingSince != 0 && now.Sub(t.storingSince) >= storeStallTimeout,
	})
	t.isStartLimited = countStartOrders(list) >= room
	events := t.cell.Events()
	isFenced := t.cell.IsFenced()
	hasChanges := t.cell.HasChanges()
	hasUnrecordedRuns := t.cell.HasUnrecordedRuns()
	t.planTimes.add(now.Sub(called), tick.Now().Sub(now))
	t.countStarts(events)
	t.mu.Unlock()
	t.logEvents(events)
	if isFenced {
		t.fail(&logs.FencedError{})
	}
	if hasChanges {
		t.wakeCommit()
	}
	if hasUnrecordedRuns {
		wake.Send(t.placementWake)
	}
	for _, o := range list {
		t.sendOrder(ctx, o)
	}
	wake.Send(t.adviceWake)
}
