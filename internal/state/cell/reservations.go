package cell

import (
	"cmp"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/aging"
	"github.com/ibischute/ibischute/internal/state/ahead"
	"github.com/ibischute/ibischute/pkg/tick"
)

// lookAhead keeps room for tasks that need more than any executor has free, and lets jobs that have waited long move
// up. It is nil if Params.LookAhead is false.
type lookAhead struct {
	planner *ahead.Planner
	balance *aging.Balance
	// releases is reused to describe executors.
	releases []ahead.Release
}

func newLookAhead(p Params) *lookAhead {
	if !p.LookAhead {
		return nil
	}
	return &lookAhead{planner: ahead.New(), balance: aging.New()}
}

const (
	// unlimitedSlots are the slots of an executor for a step without anti-affinity.
	unlimitedSlots = 1 << 30
	// endReportDelay is how soon after now the end of a run can be known at best; lists come several a second.
	endReportDelay = 100 * time.Millisecond
	// wideShare is the share of the largest executor from which a task reserves room as soon as smaller work has overtaken
	// it. Of smaller tasks, several run on an executor, so that one of them soon ends.
	wideShare = 0.25
	// minPacePercent is the lowest pace from which the end of a throttled run is forecast.
	minPacePercent = 10
)

func (s *step) aheadKey() ahead.Step {
	return ahead.Step{Job: s.job.id, Occurrence: s.occurrence.index, Index: s.index}
}

func aheadResources(r resources) ahead.Resources {
	return ahead.Resources{MilliCPU: r.milliCPU, MemoryMB: r.memoryMB, GPUs: r.gpus}
}

// beginLookAhead drops the reservations that are no longer needed, possible or met in time.
func (c *Cell) beginLookAhead(now tick.Time) {
	if c.lookAhead == nil {
		return
	}
	isWaiting := func(k ahead.Step) bool {
		t := c.task(orders.Task{Job: k.Job, Occurrence: k.Occurrence, Step: k.Index})
		return t != nil && t.step.waiting > 0 && t.step.isReady()
	}
	isUsable := func(k ahead.Step, id string) bool {
		x, ok := c.execs[id]
		t := c.task(orders.Task{Job: k.Job, Occurrence: k.Occurrence, Step: k.Index})
		return ok && x.isUsable(now) && t != nil && x.satisfies(t.step.pb.RequiresLabel)
	}
	for _, r := range c.lookAhead.planner.Begin(now, isWaiting, isUsable) {
		c.emitReservation("reservation-expired", r, "expected "+inMillis(now.Sub(r.RoomAt)).String()+" ago")
	}
}

func (c *Cell) emitReservation(name string, r ahead.Reservation, detail string) {
	t := orders.Task{Job: r.Step.Job, Occurrence: r.Step.Occurrence, Step: r.Step.Index}
	c.emit(Event{Name: name, Task: t, Executor: r.Executor, Detail: detail})
}

// awaitRoom notes that no executor has the room for a task of the step, or for all tasks of a gang. It reserves room if
// smaller work was started meanwhile.
func (c *Cell) awaitRoom(now tick.Time, p *pass, s *step) {
	if c.lookAhead == nil || s.pb.Fills || c.lookAhead.planner.IsFull() {
		return
	}
	need, pool, extremes := resourcesOf(s.pb), p.pools[s.job.queue.Service], p.extremesOf(s.job.queue.Service)
	r := ahead.Request{
		Step: s.aheadKey(), Pool: s.job.queue.Service, Priority: s.job.queue.Priority, Need: aheadResources(need), Tasks: 1,
		Since: s.readyAt, Patience: c.latencyTargetOf(s.job), IsShortOfMemory: need.memoryMB > extremes.freeMemory,
		IsWide: s.pb.Gang || s.pb.MaxPerExecutor > 0 || shareOfResources(need, extremes.largest) >= wideShare,
	}
	if s.pb.Gang {
		r.Tasks = len(s.tasks)
	}
	if s.pb.MaxPerExecutor > 0 {
		r.Need.Slots = 1
	}
	if !c.lookAhead.planner.Wait(now, r, len(pool)) {
		return
	}
	made := c.lookAhead.planner.Search(now, r, len(pool), func(i int) (ahead.Executor, bool) {
		x := pool[i]
		isPossible := x.total.covers(need) && x.total.milliCPU-x.latencyCriticalMilliCPU >= need.milliCPU
		isPossible = isPossible && !x.isColdFull() && x.satisfies(s.pb.RequiresLabel)
		if !isPossible || !s.isPermittedOn(now, x) || !x.suspicion.admits(now, s) {
			return ahead.Executor{}, false
		}
		return c.describeRoom(now, x, s), true
	})
	for _, m := range made {
		if x, ok := c.execs[m.Executor]; ok {
			x.updateRoom()
		}
		c.emitReservation("reserved", m, "expected in "+inMillis(m.RoomAt.Sub(now)).String())
	}
}

// extremes are the most memory that is free on an executor of a service, and the largest amounts that one has in total.
type extremes struct {
	freeMemory int64
	largest    resources
}

// extremesOf returns the extremes of a service when the pass first asked.
func (p *pass) extremesOf(service string) extremes {
	e, ok := p.extremes[service]
	if !ok {
		for _, x := range p.pools[service] {
			e.freeMemory = max(e.freeMemory, x.free().memoryMB)
			e.largest.milliCPU = max(e.largest.milliCPU, x.total.milliCPU)
			e.largest.memoryMB = max(e.largest.memoryMB, x.total.memoryMB)
			e.largest.gpus = max(e.largest.gpus, x.total.gpus)
		}
		p.extremes[service] = e
	}
	return e
}

// describeRoom returns the room on the executor for tasks of the step, now and after the ends of runs. The result is
// valid until the next call.
func (c *Cell) describeRoom(now tick.Time, x *executor, s *step) ahead.Executor {
	free := aheadResources(x.free())
	free.Slots = unlimitedSlots
	if s.pb.MaxPerExecutor > 0 {
		free.Slots = int64(s.pb.MaxPerExecutor) - int64(x.countTasks(s))
	}
	list := c.lookAhead.releases[:0]
	for _, r := range x.runs {
		endsAt, ok := c.endOf(now, r)
		if !ok {
			continue
		}
		room := aheadResources(r.resources)
		if s.pb.MaxPerExecutor > 0 && r.task.step == s {
			room.Slots = 1
		}
		list = append(list, ahead.Release{At: endsAt, Room: room})
	}
	c.lookAhead.releases = list
	return ahead.Executor{ID: x.entry.ID, Free: free, Releases: list}
}

// endOf forecasts the end of a run. It returns false if there is no forecast.
func (c *Cell) endOf(now tick.Time, r *run) (tick.Time, bool) {
	pb := r.task.step.pb
	switch {
	case r.isMarkedForStopping:
		return now.Add(max(endReportDelay, c.params.StopTimeout)), true
	case pb.LongRunning || pb.EstimateMs == 0:
		return 0, false
	}
	left := c.remainingTime(r) * fullPacePercent / time.Duration(max(r.pace, minPacePercent))
	return now.Add(max(endReportDelay, left)), true
}

// isReservedForOthers reports whether reservations of other steps keep tasks of the step from the executor.
func (c *Cell) isReservedForOthers(now tick.Time, s *step, need resources, x *executor) bool {
	if c.lookAhead == nil || !c.lookAhead.planner.IsReserved(x.entry.ID) {
		return false
	}
	claim := ahead.Claim{
		Step: s.aheadKey(), Priority: s.job.queue.Priority, Need: aheadResources(need), IsLongRunning: s.pb.LongRunning,
	}
	if !s.pb.Fills && !s.pb.LongRunning && s.pb.EstimateMs > 0 {
		claim.EndsAt = now.Add(c.remainingTime(&run{task: &task{step: s}, exec: x, startedAt: now, pace: fullPacePercent}))
	}
	return !c.lookAhead.planner.Admits(now, x.entry.ID, claim, func() ahead.Executor { return c.describeRoom(now, x, s) })
}

// noteStart reports to the look-ahead that a run of the task takes its room.
func (c *Cell) noteStart(now tick.Time, t *task) {
	if c.lookAhead == nil {
		return
	}
	j := t.step.job
	c.lookAhead.planner.Started(
		t.step.aheadKey(), j.queue.Service, j.queue.Priority, aheadResources(resourcesOf(t.step.pb)))
	if j.isCountedWaiting {
		j.isCountedWaiting, j.isMovedUp = false, false
		c.lookAhead.balance.Started(now, j.queue.Priority, j.isLarge)
	}
}

// countWaiting counts a job that begins to wait without a run, or does so again because its run was withdrawn.
func (c *Cell) countWaiting(now tick.Time, j *job) {
	if c.lookAhead != nil && j.idleSince != 0 && !j.isCountedWaiting {
		j.isCountedWaiting = true
		j.isLarge = c.lookAhead.balance.Arrived(now, j.queue.Priority, j.work())
	}
}

// work returns the estimated work of a job in thousandths of a core times milliseconds.
func (j *job) work() float64 {
	sum := 0.0
	for _, s := range j.pb.Steps {
		sum += float64(s.Count) * float64(s.MilliCpu) * float64(s.EstimateMs)
	}
	return sum
}

// waitingJob is a job with ready steps that have waiting tasks.
type waitingJob struct {
	job     *job
	urgency urgency
	steps   []*step
	// place is the place among the waiting jobs by acceptance.
	place int
}

// waitingJobs are the waiting jobs of one pass with their steps, ordered has the steps by urgency.
type waitingJobs struct {
	jobs           []waitingJob
	steps, ordered []*step
}

// moveUpAged moves up one job of each priority: the one that has waited longest relative to its latency target, if it
// may move up. It stays there until it starts.
func (c *Cell) moveUpAged(now tick.Time, list []waitingJob) {
	if c.lookAhead == nil {
		return
	}
	chosen := map[int]*waitingJob{}
	for i := range list {
		w := &list[i]
		j := w.job
		if !j.isCountedWaiting || j.isLongRunning() {
			continue
		}
		if !j.isMovedUp && !c.lookAhead.balance.MayMoveUp(now, w.urgency.priority, j.isLarge, c.relativeWait(now, j)) {
			continue
		}
		if o := chosen[w.urgency.priority]; o == nil || c.isAheadOf(now, j, o.job) {
			chosen[w.urgency.priority] = w
		}
	}
	for _, w := range chosen {
		w.urgency.isMovedUp = true
		if !w.job.isMovedUp {
			w.job.isMovedUp = true
			c.lookAhead.balance.MovedUp(now, w.urgency.priority)
			c.emit(Event{Name: "job-moved-up", Task: orders.Task{Job: w.job.id}})
		}
	}
}

// isAheadOf reports whether the job moves up rather than o.
func (c *Cell) isAheadOf(now tick.Time, j, o *job) bool {
	if j.isMovedUp != o.isMovedUp {
		return j.isMovedUp
	}
	return cmp.Compare(c.relativeWait(now, j), c.relativeWait(now, o)) > 0
}

// relativeWait returns for how many latency targets the job has had no run.
func (c *Cell) relativeWait(now tick.Time, j *job) float64 {
	if j.idleSince == 0 {
		return 0
	}
	return float64(now.Sub(j.idleSince)) / float64(max(time.Millisecond, c.latencyTargetOf(j)))
}
