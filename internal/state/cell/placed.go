package cell

import (
	"cmp"
	"slices"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/chain"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxPlaced bounds the placed runs of each priority together with those of higher ones. A store that takes half a
// second for a batch must not limit a fleet to fewer than 2,000 starts a second.
const maxPlaced = 1024

// highestPriority is the rank of the queues that come first.
const highestPriority = 0

// placements is what the cell keeps about the records that name the executors of tasks.
type placements struct {
	chain chain.Chain
	// needsTerm is true if the leader writes a term record, which no start order precedes.
	needsTerm, isTermBatched, isTermStored bool
	// placed has the placed runs by priority, oldest first: those whose start order is not made yet.
	placed []*run
	// held has the tasks that may run on executors that have not responded, by the hash of the executor.
	held map[uint32][]*task
}

func (p *placements) isTermDue() bool { return p.needsTerm && !p.isTermBatched }

// add adds a placed run behind those of the same or a higher priority.
func (p *placements) add(r *run) {
	i, _ := slices.BinarySearchFunc(p.placed, r.priority(), compareToPriority)
	p.placed = slices.Insert(p.placed, i, r)
}

// room returns how many more runs of the priority may be placed. Runs of lower priorities do not count.
func (p *placements) room(priority int) int {
	before, _ := slices.BinarySearchFunc(p.placed, priority, compareToPriority)
	return maxPlaced - before
}

// compareToPriority compares a placed run with the place behind the last run of the priority.
func compareToPriority(r *run, priority int) int {
	if r.priority() <= priority {
		return -1
	}
	return 1
}

// sort restores the order after priorities have changed.
func (p *placements) sort() {
	slices.SortStableFunc(p.placed, func(a, b *run) int { return cmp.Compare(a.priority(), b.priority()) })
}

// priority returns the rank of the run's queue; lower values go first.
func (r *run) priority() int { return r.task.step.job.queue.Priority }

// placeRun creates a run whose start order is made once a stored record names its executor.
func (c *Cell) placeRun(now tick.Time, t *task, x *executor, number uint64) {
	j := t.step.job
	idleSince := j.idleSince
	r := c.createRun(now, t, x, number)
	r.isPlaced, r.idleSince = true, idleSince
	r.incarnation, t.unisolatedSince = x.startedMS, 0
	c.noteStart(now, t)
	if t.step.pb.Fills {
		x.noBestEffortUntil = max(x.noBestEffortUntil, now.Add(bestEffortStartInterval))
	}
	c.placements.add(r)
	// The record of a task with losses also names the run.
	r.isRecorded = t.recordedOn == x.hash && t.batchedOn == x.hash && t.crashes.IsEmpty()
	r.recordedAt = now
	if !r.isRecorded {
		c.dirty[j.id] = j
	}
	if j.startRecord == startUnrecorded {
		j.startRecord = startRecordPending
	}
}

// placeRecorded places waiting tasks on the executors that their records name, as many as the limit of placed runs
// permits.
func (c *Cell) placeRecorded(now tick.Time, p *pass) {
	for _, s := range c.waitingSteps(now) {
		if s.pb.Gang {
			continue
		}
		limit := c.placements.room(s.job.queue.Priority)
		cands := p.candidates(s)
		for _, t := range s.tasks {
			if limit <= 0 {
				return
			}
			x := cands.recorded(t)
			if x == nil || !t.isStartable(now) {
				continue
			}
			c.placeRun(now, t, x, c.nextRunNumber(t))
			limit--
			cands.update(x)
		}
	}
}

// recorded returns the executor that the record of the task names, or nil if it is no candidate or the record may be
// replaced by one under way.
func (c *candidates) recorded(t *task) *executor {
	if t.run != nil || t.recordedOn == 0 || t.recordedOn != t.batchedOn || len(t.failedOn) > 0 || !t.crashes.IsEmpty() {
		return nil
	}
	i := slices.IndexFunc(c.list, func(k candidate) bool { return k.exec.hash == t.recordedOn })
	if i < 0 {
		return nil
	}
	return c.list[i].exec
}

// withdrawUnbatched withdraws the placed runs that are in no batch yet, so that they keep no resources from tasks
// that need no record. Those in the batch under way remain: a store that takes long for every batch would otherwise let
// nothing start. Those that replace a moved run remain too: their room was kept for them since before the run stopped.
func (c *Cell) withdrawUnbatched() {
	for _, r := range slices.Clone(c.placements.placed) {
		if r.isPlaced && !r.isBatched && !r.isRecorded && !r.isMoved {
			c.withdrawRun(r)
		}
	}
}

// withdrawRun removes a run for which no order was made. Its number may be assigned again.
func (c *Cell) withdrawRun(r *run) {
	c.placements.placed = slices.DeleteFunc(c.placements.placed, func(o *run) bool { return o == r })
	c.detachRun(r)
	r.isPlaced = false
	r.task.startCount--
	if j := r.task.step.job; j.idleSince == 0 {
		j.idleSince = r.idleSince
	}
}

// detachRun removes a run from its executor and its task.
func (c *Cell) detachRun(r *run) {
	r.exec.removeRun(r)
	r.task.run = nil
	if !r.task.done {
		r.task.step.waiting++
	}
}

// withdrawUnfit withdraws the placed runs that may no longer start on their executor, and with one member of a gang
// all others.
func (c *Cell) withdrawUnfit(now tick.Time) {
	for _, r := range slices.Clone(c.placements.placed) {
		if !r.isPlaced || r.isFit(now) {
			continue
		}
		for _, t := range r.startGroup() {
			if t.run != nil && t.run.isPlaced {
				c.emit(Event{
					Name: "placement-withdrawn", Task: t.id, Run: t.run.id.Number, Executor: t.run.exec.entry.ID,
				})
				c.withdrawRun(t.run)
			}
		}
	}
}

// startGroup returns the tasks that start together with the run's: its gang or itself.
func (r *run) startGroup() []*task {
	if r.task.step.pb.Gang {
		return r.task.step.tasks
	}
	return []*task{r.task}
}

// isFit reports whether the placed run may still start on its executor.
func (r *run) isFit(now tick.Time) bool {
	x, s := r.exec, r.task.step
	if !x.isUsable(now) || !x.free().covers(resources{}) || !x.satisfies(s.pb.RequiresLabel) {
		return false
	}
	if !s.isPermittedOn(now, x) || s.pb.Fills && x.hasRunOverTarget() || !x.suspicion.permitsPlaced(r) {
		return false
	}
	if on := r.task.orphanedOn; on != nil && on.hasOrphanedRun(r.task.id) {
		return false
	}
	if s.pb.Gang && s.waiting > 0 {
		// Another member was withdrawn.
		return false
	}
	return r.task.heldFor == 0
}

// permitsPlaced reports whether a placed run may start although the executor has become suspect since.
func (s *suspicion) permitsPlaced(r *run) bool {
	if !s.isActive() || s.trial == r {
		return true
	}
	return s.trial != nil && r.task.step.pb.Gang && s.trial.task.step == r.task.step
}

// StartRecorded returns the orders to start placed runs whose executor was recorded since the last plan, or that the
// limit of start orders kept back, so that they do not wait for the next plan, which withdraws those that are not fit.
func (c *Cell) StartRecorded(now tick.Time, maxStarts int) []Order {
	if c.isFenced {
		return nil
	}
	c.judgeCrashes(now)
	return c.startRecorded(now, maxStarts)
}

// startRecorded returns the orders to start placed runs whose executor is recorded, by priority and in the order of
// their placement. A gang starts as one, which may exceed the limit.
func (c *Cell) startRecorded(now tick.Time, maxStarts int) []Order {
	if c.placements.needsTerm && !c.placements.isTermStored || c.longestGrant(now) <= 0 {
		return nil
	}
	var out []Order
	for _, r := range c.placements.placed {
		if len(out) >= maxStarts {
			break
		}
		if !r.isPlaced || !isGroupReady(now, r) || !isGroupFit(now, r) {
			continue
		}
		for _, t := range r.startGroup() {
			if t.run != nil && t.run.isPlaced {
				out = append(out, c.startRun(now, t.run))
			}
		}
	}
	if len(out) > 0 {
		c.placements.placed = slices.DeleteFunc(c.placements.placed, func(r *run) bool { return !r.isPlaced })
	}
	return out
}

// isGroupReady reports whether the executors of the placed run and of its gang are recorded and no pause after
// failures keeps them from starting.
func isGroupReady(now tick.Time, r *run) bool {
	for _, t := range r.startGroup() {
		isWaiting := t.run != nil && t.run.isPlaced
		if isWaiting && (!t.run.isRecorded || t.run.exec.suspicion.isPausing(now)) {
			return false
		}
	}
	return true
}

// isGroupFit reports whether the placed run and those of its gang may still start on their executors.
func isGroupFit(now tick.Time, r *run) bool {
	for _, t := range r.startGroup() {
		if t.run != nil && t.run.isPlaced && !t.run.isFit(now) {
			return false
		}
	}
	return true
}

// startRun returns the order to start a placed run.
func (c *Cell) startRun(now tick.Time, r *run) Order {
	t, x := r.task, r.exec
	r.isPlaced = false
	r.incarnation = x.startedMS
	r.startedAt, r.progressAt, r.checkpoint = now, now, t.checkpoint
	if t.step.pb.Fills && now.Sub(r.createdAt) > bestEffortStartInterval/2 {
		// The pause from the reservation on would end too soon after the start.
		x.noBestEffortUntil = max(x.noBestEffortUntil, now.Add(bestEffortStartInterval))
	}
	r.token = x.use()
	c.speed.Begin(now, x.entry.ID, r.id)
	c.emit(startEvent(now, r))
	return Order{Target: x.target(), madeAt: now, Start: &orders.Start{
		Run: r.id, Spec: t.step.job.pb.Spec, Checkpoint: t.checkpoint, DeadlineMS: c.extendLease(now, x),
		FencingToken: r.token, Ticket: t.step.ticketFor(x), StartedMS: x.startedMS,
	}}
}

// HasUnrecordedRuns reports whether there are placed runs that wait for the next batch to be stored.
func (c *Cell) HasUnrecordedRuns() bool {
	return slices.ContainsFunc(c.placements.placed, func(r *run) bool { return !r.isRecorded })
}

// hasOrderedRun reports whether the executor has a run whose start order was made.
func (x *executor) hasOrderedRun() bool {
	for _, r := range x.runs {
		if !r.isPlaced {
			return true
		}
	}
	return false
}

// orderedBestEffort returns the best-effort runs whose start orders were made.
func (x *executor) orderedBestEffort() []*run {
	return slices.DeleteFunc(slices.Clone(x.bestEffort), func(r *run) bool { return r.isPlaced })
}
