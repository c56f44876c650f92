package cell

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/state/evac"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// evacuationInterval is the shortest time between two searches for runs to move out of evacuated domains, and
	// evacuationIntervalPerExecutor what each executor adds to it, as a search rates all of them.
	evacuationInterval            = 50 * time.Millisecond
	evacuationIntervalPerExecutor = 50 * time.Microsecond
	// evacuationPauseUnderLoad is the shortest time between two moves of long-running tasks while other tasks wait for
	// the room.
	evacuationPauseUnderLoad = 300 * time.Millisecond
	// moveMargin is the time for the order and the list in addition to the longest stop, for which room is kept for a run
	// that moves. Its task waits like any other afterwards.
	moveMargin = 1500 * time.Millisecond
	// defaultNotice is how long a task may be out of work before it counts as away, if the deployment does not set it.
	defaultNotice = 5500 * time.Millisecond
)

// evacuation is the state of the evacuated failure domains.
type evacuation struct {
	domains map[string]bool
	// moved counts the runs that have moved out of each domain since the request.
	moved map[string]int
	// moves are those under way, and nextSearchAt is the earliest time for the next search.
	moves        []*move
	nextSearchAt tick.Time
	// isShortOfRoom is true if tasks that end soon have found no room in the last pass. movedLongRunningAt is when
	// long-running tasks were last moved.
	isShortOfRoom      bool
	movedLongRunningAt tick.Time
	// futileSearches counts the searches in a row that found no room, for long-running runs and for the others.
	futileSearches map[bool]int
}

// move is the move of a run, or of all runs of a gang, to executors on which room is kept.
type move struct {
	runs    []*run
	targets []*executor
	since   tick.Time
}

// SetEvacuated replaces the set of evacuated failure domains. No task starts on an executor of such a domain.
func (c *Cell) SetEvacuated(_ tick.Time, domains []string) {
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
		if !c.evacuation.domains[d] {
			c.emit(Event{Name: "domain-evacuated", Detail: d})
		}
	}
	for _, d := range slices.Sorted(maps.Keys(c.evacuation.domains)) {
		if !next[d] {
			c.emit(Event{Name: "domain-restored", Detail: d})
			delete(c.evacuation.moved, d)
		}
	}
	c.evacuation.domains = next
	for _, x := range c.execs {
		x.isEvacuated = next[x.domain()]
	}
}

// EvacuationProgress is how far the evacuation of a failure domain is.
type EvacuationProgress struct {
	Domain string
	// Left is the number of runs in the domain, Moved that of the runs that have moved out of it.
	Left, Moved int
}

// Evacuations returns the progress of all evacuations in the order of the names of the domains.
func (c *Cell) Evacuations() []EvacuationProgress {
	left := map[string]int{}
	for _, x := range c.execs {
		if x.isEvacuated {
			left[x.domain()] += len(x.runs)
		}
	}
	var out []EvacuationProgress
	for _, d := range slices.Sorted(maps.Keys(c.evacuation.domains)) {
		out = append(out, EvacuationProgress{Domain: d, Left: left[d], Moved: c.evacuation.moved[d]})
	}
	return out
}

// isMoveSearchDue reports whether runs to move are to be searched now.
func (c *Cell) isMoveSearchDue(now tick.Time) bool {
	if len(c.evacuation.domains) == 0 || now.Before(c.evacuation.nextSearchAt) {
		return false
	}
	interval := evacuationInterval + time.Duration(len(c.execs))*evacuationIntervalPerExecutor
	c.evacuation.nextSearchAt = now.Add(interval)
	return true
}

// mayMoveLongRunning reports whether long-running tasks may be moved now. They leave slowly while tasks that end soon
// wait for room, because those have nowhere else to run.
func (c *Cell) mayMoveLongRunning(now tick.Time) bool {
	return !c.evacuation.isShortOfRoom || now.Sub(c.evacuation.movedLongRunningAt) >= evacuationPauseUnderLoad
}

// planMoves marks runs of evacuated domains, either the long-running or the others, for stopping if other executors
// have the room for them now, which is kept for them.
func (c *Cell) planMoves(now tick.Time, p *pass, areLongRunning bool) {
	groups := c.movableRuns(areLongRunning)
	units := make([]evac.Unit, len(groups))
	away := map[*step]int{}
	for i, runs := range groups {
		s := runs[0].task.step
		if _, ok := away[s]; !ok {
			away[s] = c.countAway(now, s)
		}
		units[i] = c.unitOf(now, runs, away[s])
	}
	moves := map[int]*move{}
	keepRoom := func(i int) bool {
		m := c.keepRoomForMove(now, p, groups[i])
		moves[i] = m
		return m != nil
	}
	planner := evac.New(evac.Costs{Stop: c.params.StopTimeout, Restore: c.params.Restore})
	selected := planner.Plan(units, len(c.evacuation.moves), c.evacuation.futileSearches[areLongRunning], keepRoom)
	c.evacuation.futileSearches[areLongRunning]++
	for _, i := range selected {
		c.evacuation.futileSearches[areLongRunning] = 0
		if areLongRunning {
			c.evacuation.movedLongRunningAt = now
		}
		c.evacuation.moves = append(c.evacuation.moves, moves[i])
		for _, r := range moves[i].runs {
			c.markForStopping(r)
			c.emit(Event{
				Name: "moved", Task: r.id.Task, Run: r.id.Number, Executor: r.exec.entry.ID, Detail: "evacuated",
			})
		}
	}
}

// movableRuns returns the long-running or the other runs of evacuated domains that may be moved, in a fixed order: each
// for itself, or all of a gang. Executors that do not respond could not confirm a stop.
func (c *Cell) movableRuns(areLongRunning bool) [][]*run {
	var out [][]*run
	gangs := map[*step]bool{}
	for _, x := range c.execs {
		if !x.isEvacuated || x.isTerminated || x.isUnresponsive || x.isDraining() {
			continue
		}
		for _, r := range x.runs {
			s := r.task.step
			if s.pb.LongRunning != areLongRunning || gangs[s] || !c.isMovable(r) {
				continue
			}
			runs := []*run{r}
			if s.pb.Gang {
				gangs[s] = true
				if runs = c.gangRuns(s); runs == nil {
					continue
				}
			}
			out = append(out, runs)
		}
	}
	slices.SortFunc(out, func(a, b []*run) int {
		t, u := a[0].id.Task, b[0].id.Task
		return cmp.Or(
			strings.Compare(t.Job, u.Job), cmp.Compare(t.Occurrence, u.Occurrence), cmp.Compare(t.Step, u.Step),
			cmp.Compare(t.Index, u.Index),
		)
	})
	return out
}

// isMovable reports whether the run is known to be running and its task could start again once it has stopped.
func (c *Cell) isMovable(r *run) bool {
	isRunning := r.firstListedAt != 0 && !r.isMarkedForStopping && !r.isStartUnconfirmed
	isHeldBack := c.isTakingOver && r.task.step.job.isInherited
	return isRunning && !isHeldBack && !r.task.done && r.task == c.task(r.id.Task)
}

// gangRuns returns the runs of a gang, or nil if one of them may not be moved.
func (c *Cell) gangRuns(s *step) []*run {
	var out []*run
	for _, t := range s.tasks {
		if t.run == nil || !c.isMovable(t.run) || t.run.exec.isUnresponsive {
			return nil
		}
		out = append(out, t.run)
	}
	return out
}

// unitOf describes runs that move together.
func (c *Cell) unitOf(now tick.Time, runs []*run, away int) evac.Unit {
	pb := runs[0].task.step.pb
	u := evac.Unit{
		Step: runs[0].task.step, Size: len(runs), HasCheckpoints: pb.Checkpointing, LongRunning: pb.LongRunning,
		Away: away, MayMiss: int(pb.MayMiss),
	}
	for _, r := range runs {
		lost := now.Sub(max(r.firstListedAt, r.checkpointAt))
		if c.params.CheckpointEvery > 0 {
			lost = min(lost, c.params.CheckpointEvery)
		}
		u.Remaining, u.Lost = max(u.Remaining, c.remainingTime(r)), max(u.Lost, lost)
	}
	return u
}

// countAway counts the tasks of the step that are not at work, for any reason.
func (c *Cell) countAway(now tick.Time, s *step) int {
	n := 0
	for _, t := range s.tasks {
		if !t.done && !c.isAtWork(now, t.run) {
			n++
		}
	}
	return n
}

// isAtWork reports whether a run of a long-running task works at full speed, as far as lists show.
func (c *Cell) isAtWork(now tick.Time, r *run) bool {
	notice := c.params.Notice
	if notice == 0 {
		notice = defaultNotice
	}
	return r != nil && !r.isMarkedForStopping && r.percent >= fullPacePercent && now.Sub(r.listedAt) < notice
}

// keepRoomForMove keeps room for the runs on other executors. It returns nil if there is not enough. A member of a gang
// outside of the evacuated domains stays on its executor.
func (c *Cell) keepRoomForMove(now tick.Time, p *pass, runs []*run) *move {
	m := &move{since: now}
	cands := p.candidates(runs[0].task.step)
	for _, r := range runs {
		x := r.exec
		if x.isEvacuated {
			x = cands.best(r.task)
		}
		if x == nil || !x.isUsable(now) {
			m.release()
			return nil
		}
		if x != r.exec {
			x.keepRoom(r.task)
			cands.update(x)
		}
		m.runs, m.targets = append(m.runs, r), append(m.targets, x)
	}
	return m
}

func (m *move) release() {
	for i, x := range m.targets {
		x.releaseRoom(m.runs[i].task)
	}
	m.targets = nil
}

// keepFreedRoom keeps the room of members that stay on their executor once their runs are over. Before that, the runs
// themselves hold it.
func (m *move) keepFreedRoom() {
	for i, r := range m.runs {
		if x := m.targets[i]; x == r.exec && r.task.run == nil && !x.kept[r.task] {
			x.keepRoom(r.task)
		}
	}
}

// keepRoom keeps the resources of a task on the executor.
func (x *executor) keepRoom(t *task) {
	x.kept[t] = true
	x.used = x.used.plus(resourcesOf(t.step.pb))
	if t.step.pb.Fills {
		x.bestEffortMilliCPU += int64(t.step.pb.MilliCpu)
	}
	x.updateRoom()
}

func (x *executor) releaseRoom(t *task) {
	if !x.kept[t] {
		return
	}
	delete(x.kept, t)
	x.used = x.used.minus(resourcesOf(t.step.pb))
	if t.step.pb.Fills {
		x.bestEffortMilliCPU -= int64(t.step.pb.MilliCpu)
	}
	x.updateRoom()
}

// countKept returns the number of tasks of the step for which room is kept on the executor.
func (x *executor) countKept(s *step) int {
	n := 0
	for t := range x.kept {
		if t.step == s {
			n++
		}
	}
	return n
}

// finishMoves places the tasks whose runs have stopped where room is kept for them, at most the limit.
func (c *Cell) finishMoves(now tick.Time, p *pass, limit int) {
	n := 0
	c.evacuation.moves = slices.DeleteFunc(c.evacuation.moves, func(m *move) bool {
		if c.isObsolete(now, m) {
			m.release()
			return true
		}
		m.keepFreedRoom()
		isReady := !slices.ContainsFunc(m.runs, func(r *run) bool { return !r.task.isStartable(now) })
		if !isReady || n >= limit {
			return false
		}
		n += c.finishMove(now, p, m)
		return true
	})
}

// isObsolete reports whether the room for a move need no longer be kept.
func (c *Cell) isObsolete(now tick.Time, m *move) bool {
	if now.Sub(m.since) > c.params.StopTimeout+moveMargin {
		return true
	}
	for i, r := range m.runs {
		t, x := r.task, m.targets[i]
		isReplaced := t.run != nil && t.run != r
		if t.done || isReplaced || c.task(t.id) != t || c.execs[x.entry.ID] != x || !x.isUsable(now) {
			return true
		}
	}
	return false
}

// finishMove places the tasks of a move unless a target no longer takes one of them. Then they wait like any others.
// It returns the number of placed runs.
func (c *Cell) finishMove(now tick.Time, p *pass, m *move) int {
	s := m.runs[0].task.step
	targets, number, isPermitted := m.targets, uint64(0), true
	for i, r := range m.runs {
		// The room that is kept for the other members of a gang stays taken.
		targets[i].releaseRoom(r.task)
		isFree := p.takesMoved(s, targets[i])
		targets[i].keepRoom(r.task)
		isPermitted = isPermitted && isFree
	}
	m.release()
	if !isPermitted {
		return 0
	}
	for _, r := range m.runs {
		number = max(number, c.nextRunNumber(r.task))
	}
	for i, r := range m.runs {
		c.placeRun(now, r.task, targets[i], number)
		r.task.run.isMoved = true
		if r.exec.isEvacuated {
			c.evacuation.moved[r.exec.domain()]++
		}
	}
	return len(m.runs)
}

// takesMoved reports whether the executor can still take a task for which room was kept on it.
func (p *pass) takesMoved(s *step, x *executor) bool {
	need := resourcesOf(s.pb)
	if s.pb.Fills {
		_, ok := p.rateExecutor(s, need, x)
		return ok
	}
	return x.allows(s, need) && s.isPermittedOn(p.now, x) && x.suspicion.admits(p.now, s)
}
