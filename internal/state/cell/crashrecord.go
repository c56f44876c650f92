package cell

import (
	"math"
	"time"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/crash"
)

// lossRecords returns the losses of the task for its record. The run of a task that has a loss is among them, so that a
// new leader counts the crash of its executor.
func (t *task) lossRecords() []*jobpb.Loss {
	if t.done || t.crashes.IsEmpty() {
		return nil
	}
	var out []*jobpb.Loss
	for _, l := range t.crashes.Losses() {
		out = append(out, &jobpb.Loss{
			Executor: l.Executor, Incarnation: l.Incarnation, Run: l.Run, State: lossStates[l.State],
			WorkedMs: uint32(min(l.Worked.Milliseconds(), math.MaxUint32)),
		})
	}
	if r := t.run; r != nil {
		out = append(out, &jobpb.Loss{
			Executor: r.exec.hash, Incarnation: r.incarnation, Run: r.id.Number,
			State: jobpb.LossState_LOSS_STATE_PROVISIONAL,
		})
	}
	return out
}

var lossStates = map[crash.State]jobpb.LossState{
	crash.Open:      jobpb.LossState_LOSS_STATE_OPEN,
	crash.Confirmed: jobpb.LossState_LOSS_STATE_CONFIRMED,
	crash.Counted:   jobpb.LossState_LOSS_STATE_COUNTED,
	crash.Shared:    jobpb.LossState_LOSS_STATE_SHARED,
}

// restoreLosses applies the recorded losses of a task. A run that may still work is an open loss until its executor
// responds.
func (c *Cell) restoreLosses(t *task, losses []*jobpb.Loss) {
	if t.done {
		return
	}
	for _, pb := range losses {
		l := crash.Loss{
			Executor: pb.Executor, Incarnation: pb.Incarnation, Run: pb.Run, State: crash.Open,
			Worked: time.Duration(pb.WorkedMs) * time.Millisecond,
		}
		for state, recorded := range lossStates {
			if recorded == pb.State {
				l.State = state
			}
		}
		if t.crashes.Add(l) {
			c.trackLoss(t, l)
		}
	}
	if t.crashes.IsGivenUp() {
		c.crashes.givenUp = append(c.crashes.givenUp, t)
	}
}
