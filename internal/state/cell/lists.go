package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// holdWait is how long an executor may keep a hold that waits for an end.
	holdWait = time.Second
	// watchWait is that time while the tails of serving tasks are watched, and watchesPerSecond the most such looks in
	// a second at all executors.
	watchWait        = 400 * time.Millisecond
	watchesPerSecond = 600
	// stalledAckPause is how long the next hold waits for the record of the ends that the last one listed.
	stalledAckPause = 250 * time.Millisecond
	// silentRetry is the pause before the next hold after one without an answer, and idleRetry that for an executor on
	// which nothing runs.
	silentRetry = 50 * time.Millisecond
	idleRetry   = 400 * time.Millisecond
	// ackValidity is how long after an answer the numbers of ends surely belong to the same process. A process that has
	// restarted since must not forget ends of the same numbers.
	ackValidity = 250 * time.Millisecond
	// idleInterval is how often an idle executor is asked, since late orders and restarts may have changed what it has.
	idleInterval = 2 * time.Second
)

// Hold returns the next hold of the executor, or the pause until the next question if there is none to send. An
// executor that is gone has no target.
func (c *Cell) Hold(now tick.Time, id string) (orders.Hold, orders.Target, time.Duration) {
	x, ok := c.execs[id]
	if !ok || x.isDead {
		return orders.Hold{}, orders.Target{}, 0
	}
	h := orders.Hold{Epoch: c.epoch}
	if now.Sub(x.heardAt) < ackValidity {
		h.AckCursor = x.acked
	}
	if !x.isHeard || !x.hasClock {
		return h, x.target(), 0
	}
	hasRuns := len(x.runs) > 0 || len(x.surplus) > 0
	if x.seen > x.acked && now.Sub(x.heardAt) < stalledAckPause {
		return h, x.target(), stalledAckPause
	}
	if !hasRuns && x.acked <= x.ackSent {
		return h, x.target(), max(0, idleInterval-now.Sub(x.heardAt))
	}
	if x.isSilent {
		// A hold without an answer may have extended the lease. Further ones only ask, so that it ends some time.
		return h, x.target(), 0
	}
	h.DeadlineMS = c.extend(now, x)
	if hasRuns && x.seen <= x.acked {
		h.Wait = holdWait
		if len(x.serving) > 0 && len(x.filling) > 0 {
			h.Wait = c.watchInterval()
		}
	}
	return h, x.target(), 0
}

// watchInterval returns how often an executor with serving and filling tasks is looked at.
func (c *Cell) watchInterval() time.Duration {
	even := time.Duration(len(c.execs)) * time.Second / watchesPerSecond
	return min(holdWait, max(watchWait, even))
}

// Held applies the answer to a hold that was sent at sent.
func (c *Cell) Held(now, sent tick.Time, id string, h orders.Hold, l orders.Lists, reply orders.Reply) {
	x, ok := c.execs[id]
	if !ok {
		return
	}
	x.isSilent = reply.Outcome == orders.Unanswered || reply.Outcome == orders.NotSent
	if !c.heard(now, x, reply) {
		return
	}
	if x.bornMS != 0 && l.BornMS != 0 && l.BornMS != x.bornMS {
		c.reborn(x)
		h.AckCursor = 0
	}
	x.bornMS = l.BornMS
	isFirst := !x.isHeard
	x.isHeard = true
	if isFirst {
		// A former lead may have extended the lease until just now.
		x.lapseBy = max(x.lapseBy, now.Add(c.params.LongestLease()))
	}
	x.heardAt = now
	x.ackSent = max(x.ackSent, h.AckCursor)
	listed := make(map[orders.Run]bool, len(l.Ended)+len(l.Running))
	for _, e := range l.Ended {
		listed[e.Run] = true
		if e.Number > x.seen {
			x.seen = e.Number
			c.ended(now, x, e)
		}
	}
	clear(x.surplus)
	for _, r := range l.Running {
		listed[r.Run] = true
		c.running(now, x, r, isFirst)
	}
	c.missing(sent, x, listed)
	c.learn(now, x)
	c.clearStalled(now, x)
}

// heard applies what any reply tells of the executor and reports whether it was carried out.
func (c *Cell) heard(now tick.Time, x *executor, reply orders.Reply) bool {
	switch reply.Outcome {
	case orders.Unanswered, orders.NotSent:
		return false
	case orders.Fenced:
		c.isFenced = true
	case orders.OtherIncarnation:
		c.bury(x, "another incarnation answers")
		return false
	default:
		x.sample(now, reply.ClockMS)
	}
	return reply.Outcome == orders.Done
}

// reborn notes that the executor has restarted under its id. What it had is gone, but some of its runs may have been
// started since; the list tells.
func (c *Cell) reborn(x *executor) {
	c.note(Event{Name: "executor-reborn", Executor: x.entry.ID})
	x.seen, x.cut, x.acked, x.ackSent = 0, 0, 0, 0
	x.hasClock = false
	x.failures = 0
	for _, r := range x.runs {
		if r.confirmedAt == 0 {
			// An order without an answer may still arrive: the run is stopped in advance.
			c.unwant(r)
			r.stopSentAt, r.stoppedAt = 0, 0
		}
	}
}

// ended applies one listed end.
func (c *Cell) ended(now tick.Time, x *executor, e orders.Ended) {
	if e.How == orders.EndedDone {
		x.failures, x.failedBy = 0, ""
	}
	if r, ok := x.runs[e.Run.Task]; ok && r.id == e.Run && r.task != c.task(e.Run.Task) {
		// The run of a job that has ended.
		c.release(r, e.How)
		return
	}
	if t := c.task(e.Run.Task); t != nil {
		c.finish(now, t, e, x)
	}
}

// running applies one row of the running list.
func (c *Cell) running(now tick.Time, x *executor, row orders.Running, isFirst bool) {
	r, ok := x.runs[row.Run.Task]
	if ok && r.id == row.Run {
		c.update(now, r, row)
		return
	}
	t := c.task(row.Run.Task)
	if isFirst && t != nil && !t.done && t.run == nil {
		r := &run{
			id: row.Run, task: t, exec: x, room: roomOf(t.step.pb), startedAt: now, confirmedAt: now,
			percentAt: now, pace: fullPace,
		}
		c.attach(r)
		t.step.job.begun = true
		c.update(now, r, row)
		c.note(Event{Name: "run-adopted", Task: t.id, Run: row.Run.Number, Executor: x.entry.ID})
		return
	}
	x.surplus[row.Run] = false
	if t != nil {
		t.strayOn = x
	}
}

func (c *Cell) update(now tick.Time, r *run, row orders.Running) {
	r.isDoubtful = false
	if r.confirmedAt == 0 {
		r.confirmedAt = now
		r.task.step.job.begun = true
	}
	if row.Checkpoint != "" {
		r.checkpoint = row.Checkpoint
	}
	if r.firstAt == 0 || row.Percent != r.percent {
		r.percentAt = now
	}
	if r.firstAt == 0 {
		r.firstAt = now
	}
	r.percent = row.Percent
	r.usage = row.Usage
}

// missing releases the runs that a list sent after their confirmation, or after their stop, lacks.
func (c *Cell) missing(sent tick.Time, x *executor, listed map[orders.Run]bool) {
	for _, r := range x.runs {
		if listed[r.id] {
			continue
		}
		isKnown := r.confirmedAt != 0 && r.confirmedAt.Before(sent)
		isStopped := r.stoppedAt != 0 && r.stoppedAt.Before(sent)
		if isKnown || isStopped {
			c.release(r, orders.EndedLapsed)
		}
	}
}

// lapse releases the runs of executors whose lease has surely lapsed.
func (c *Cell) lapse(now tick.Time) {
	for _, x := range c.execs {
		if len(x.runs) == 0 || !now.After(x.lapseBy) {
			continue
		}
		for _, r := range x.runs {
			c.release(r, orders.EndedLapsed)
		}
	}
}

// SilentPause is the pause after a hold that the executor did not carry out.
func (c *Cell) SilentPause(id string) time.Duration {
	if x, ok := c.execs[id]; ok && len(x.runs) > 0 {
		return silentRetry
	}
	return idleRetry
}

// IsAckDue reports whether the executor waits to be told of stored ends.
func (c *Cell) IsAckDue(id string) bool {
	x, ok := c.execs[id]
	return ok && x.acked > x.ackSent
}

// Executors returns the ids of the executors to keep in touch with.
func (c *Cell) Executors() []string {
	ids := make([]string, 0, len(c.execs))
	for id, x := range c.execs {
		if !x.isDead {
			ids = append(ids, id)
		}
	}
	return ids
}
