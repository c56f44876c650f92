package cell

import (
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// applyLists applies the lists in the reply to a hold or a query.
func (c *Cell) applyLists(now, sent tick.Time, x *executor, h orders.Hold, l orders.Lists, reply orders.Reply) {
	if !c.applyReply(now, x, x.heldAddress, h.FencingToken, reply) || !c.identifyProcess(now, sent, x, h, l, reply) {
		return
	}
	c.identify(now, x, l.StartedMS)
	c.observeIncarnation(x.hash, l.StartedMS, true)
	x.listedClockMS = reply.ClockMS
	x.sampleClock(now, reply.ClockMS)
	isFirst := !x.hasResponded
	x.hasResponded, x.isFencing = true, false
	if isFirst {
		// A previous leader may have extended the lease until just now.
		c.awaitLease(now, x)
	}
	x.lastResponseAt = now
	c.noteMoreEnds(x, l)
	c.endOutage(x)
	x.ackSentCursor = max(x.ackSentCursor, h.AckCursor)
	for _, e := range l.Ended {
		if e.Cursor > x.appliedCursor {
			c.observeEnd(x, e, isFirst)
			x.appliedCursor = e.Cursor
			c.unbatched[x] = true
			c.applyEnded(now, x, e)
		}
	}
	x.forgetOrphans(l)
	running := make([]*run, 0, len(l.Running))
	for _, row := range l.Running {
		if r := c.applyRunning(now, x, row, isFirst); r != nil {
			running = append(running, r)
		}
	}
	if len(running) > 0 && sent.After(x.leaseExpiresBy) {
		// The lease lasts longer than it was granted for.
		c.awaitLease(now, x)
	}
	if !l.HasMoreEnds {
		x.endsKnownAt = now
		c.releaseMissing(sent, x, h, l)
	}
	c.updateModel(now, x)
	c.rateRuns(now, sent, h, x, running)
	c.stopStalled(now, x, running)
}

// forgetOrphans forgets the orphaned runs that are over by the lists. Those that run are found again in their rows. The
// end of one that truncated lists lack may follow.
func (x *executor) forgetOrphans(l orders.Lists) {
	if !l.HasMoreEnds {
		clear(x.orphaned)
		return
	}
	for _, e := range l.Ended {
		delete(x.orphaned, e.Run)
	}
	for _, r := range l.Running {
		delete(x.orphaned, r.Run)
	}
}

// noteMoreEnds records whether the executor may have ends that the list lacks.
func (c *Cell) noteMoreEnds(x *executor, l orders.Lists) {
	if l.HasMoreEnds == x.hasMoreEnds {
		return
	}
	x.hasMoreEnds = l.HasMoreEnds
	name := "ends-complete"
	if l.HasMoreEnds {
		name = "ends-truncated"
	}
	c.emit(Event{
		Name: name, Executor: x.entry.ID,
		Detail: fmt.Sprintf("%d listed, %d running, %d tracked runs", len(l.Ended), len(l.Running), len(x.runs)),
	})
}

// applyReply updates the executor from any reply and reports whether the order, which was sent to the address with the
// token, was carried out by the executor's present incarnation.
func (c *Cell) applyReply(
	now tick.Time, x *executor, address string, token orders.FencingToken, reply orders.Reply,
) bool {
	c.noteReply(x)
	x.noteUnanswered(token, reply)
	if isAnswer(reply.Outcome) && address == x.entry.Address {
		x.isClaimUnchecked = false
	}
	switch {
	case !isAnswer(reply.Outcome):
		return false
	case reply.Outcome == orders.Fenced:
		// A higher token of this leader rejects only the order.
		c.isFenced = c.isFenced || token >= x.token
		return false
	case address != x.entry.Address:
		return false
	case reply.Outcome == orders.OtherIncarnation:
		c.handleOtherIncarnation(now, x, address)
		return false
	}
	c.observeClock(now, x, reply)
	if reply.Outcome != orders.Done {
		return false
	}
	x.aliveAt = now
	x.confirmAddress(address)
	return true
}

// handleRestart resets the tracked state of an executor that restarted under its id, as its first lists show. The runs
// of the old process have ended, but some tracked runs may have been started since the restart; the lists show which.
func (c *Cell) handleRestart(now tick.Time, x *executor) {
	x.appliedCursor, x.batchedCursor, x.storedCursor, x.ackSentCursor = 0, 0, 0, 0
	x.hasClock, x.endsKnownAt, x.restartedAt = false, 0, now
	x.hasResponded = false
	clear(x.orphaned)
	x.suspicion.clear()
	c.speed.Drop(x.entry.ID)
	c.dropTickets(x)
	for _, r := range x.runs {
		if !x.hasRestartedSince(r) {
			r.wasDraining = x.isDraining()
		}
		// It is unknown which paces calls to the former process have set here.
		r.isPaceUnconfirmed = r.isPaceUnconfirmed || !r.isPlaced && r.task.step.pb.Fills
	}
}

// applyEnded applies one listed end.
func (c *Cell) applyEnded(now tick.Time, x *executor, e orders.EndedRun) {
	if e.Reason == orders.EndedDone {
		x.suspicion.clear()
	}
	if r, ok := x.runs[e.Run.Task]; ok && r.id == e.Run && r.task != c.task(e.Run.Task) {
		// The run belongs to a job that has ended.
		c.releaseRun(r, e.Reason, listedEnd)
		return
	}
	if t := c.task(e.Run.Task); t != nil {
		c.finishRun(now, t, e, x)
	}
}

// applyRunning applies one row of the list of running tasks. A run that this leader does not track is adopted if this
// is the executor's first list and the task needs a run; otherwise it is orphaned. It returns the run unless that is
// orphaned.
func (c *Cell) applyRunning(now tick.Time, x *executor, row orders.Running, isFirst bool) *run {
	r, ok := x.runs[row.Run.Task]
	if ok && r.id == row.Run {
		c.updateRun(now, r, row)
		return r
	}
	t := c.task(row.Run.Task)
	if t != nil && t.run != nil && t.run.isPlaced {
		c.withdrawRun(t.run)
	}
	if isFirst && t != nil && !t.done && t.run == nil {
		r := &run{
			id: row.Run, task: t, exec: x, resources: resourcesOf(t.step.pb), startedAt: now, confirmedAt: now,
			progressAt: now, pace: fullPacePercent, isPartial: true, isAdopted: true,
		}
		c.attachRun(r)
		t.step.job.hasStarted = true
		c.updateRun(now, r, row)
		c.emit(Event{Name: "run-adopted", Task: t.id, Run: row.Run.Number, Executor: x.entry.ID})
		return r
	}
	x.orphaned[row.Run] = false
	if t != nil {
		t.orphanedOn = x
	}
	return nil
}

func (c *Cell) updateRun(now tick.Time, r *run, row orders.Running) {
	r.isStartUnconfirmed = false
	r.incarnation = r.exec.startedMS
	if r.confirmedAt == 0 {
		r.confirmedAt = now
		r.task.step.job.hasStarted = true
	}
	r.updateCheckpoint(now, row)
	if r.firstListedAt == 0 || row.Percent != r.percent {
		r.progressAt = now
	}
	if r.firstListedAt == 0 {
		r.firstListedAt, r.firstPercent = now, row.Percent
	}
	r.listedAt = now
	r.percent = row.Percent
	r.usage = row.Usage
	r.updateWork(now)
	c.clearCrashes(r)
	if r.exec.suspicion.isClearedBy(r) {
		r.exec.suspicion.clear()
	}
}

// updateCheckpoint records the run's last checkpoint and the progress that it has at least.
func (r *run) updateCheckpoint(now tick.Time, row orders.Running) {
	switch {
	case row.Checkpoint == "" || row.Checkpoint == r.checkpoint:
	case r.firstListedAt == 0:
		r.checkpoint, r.checkpointAt = row.Checkpoint, now
	default:
		// The checkpoint was written since the last list.
		r.checkpoint, r.checkpointAt, r.checkpointPercent = row.Checkpoint, now, r.percent
	}
}
