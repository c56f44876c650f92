package cell

import "github.com/ibischute/ibischute/pkg/tick"

// Usage is the utilization of the executors and the number of waiting tasks, by kind of task.
type Usage struct {
	// Cores is the CPU capacity of all listed executors, UsedCores the part of it allocated to tasks that are not
	// best-effort, and LongRunningCores the part of that allocated to long-running tasks.
	Cores, UsedCores, LongRunningCores int64
	// BestEffortCores are the cores requested by best-effort tasks.
	BestEffortCores int64
	// WaitingShort, WaitingLongRunning and WaitingBestEffort count the tasks that are ready and have no run: short,
	// long-running and best-effort ones.
	WaitingShort, WaitingLongRunning, WaitingBestEffort int
	// LatencyCritical counts the running latency-critical tasks, OverTarget those of them that exceed their latency
	// target.
	LatencyCritical, OverTarget int
	// BestEffort counts the best-effort runs, Throttled those of them below their full pace.
	BestEffort, Throttled int
	// Placed counts the tasks that have an executor and whose start order is not made yet. Their cores are used, but
	// they are in no other figure. PlacedCores are the cores of those that are not best-effort.
	Placed      int
	PlacedCores int64
	// Jobs is the number of jobs that have not ended.
	Jobs int
	// AwaitedExecutors counts the executors that have not responded to this leader and may run tasks of a former one.
	// Until there are none, tasks that may run on one of them, and jobs whose record does not tell, do not start.
	AwaitedExecutors int
	// SlowExecutors counts the executors on which runs progress much more slowly than they should.
	SlowExecutors int
	// CrashingTasks counts the tasks with crashes that count against them.
	CrashingTasks int
	// OverCapacity counts the executors whose runs need more than they have, since their capacity has shrunk.
	OverCapacity int
	// Durations are the ratios of actual to estimated durations of each queue with samples.
	Durations []QueueDurations
	// Delayed counts the steps that wait although an executor has the room, and the runs that no list shows, by cause, as
	// of the last call of Diagnose.
	Delayed map[WaitCause]int
}

// QueueDurations are the quantiles of the ratio of actual to estimated durations that decisions depend on.
type QueueDurations struct {
	Queue        string
	Median, High float64
}

// Usage returns the present utilization.
func (c *Cell) Usage(now tick.Time) Usage {
	u := Usage{Jobs: len(c.active), Delayed: c.delayed, SlowExecutors: c.speed.Count()}
	for _, name := range c.durations.Queues() {
		u.Durations = append(u.Durations, QueueDurations{
			Queue: name, Median: c.durations.Ratio(name, "", typicalQuantile), High: c.durations.Ratio(name, "", endQuantile),
		})
	}
	for _, x := range c.execs {
		if c.isTakingOver && c.isAwaited(now, x) {
			u.AwaitedExecutors++
		}
		if x.isTerminated || !x.isListed {
			continue
		}
		u.countCapacity(x)
		u.Cores += x.total.milliCPU / milliCPUPerCore
		u.UsedCores += x.used.milliCPU / milliCPUPerCore
		for _, r := range x.runs {
			if r.isPlaced {
				u.Placed++
				u.PlacedCores += r.resources.milliCPU / milliCPUPerCore
				continue
			}
			u.countRun(r)
		}
	}
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				u.countWaiting(s)
				u.CrashingTasks += s.countCrashing()
			}
		}
	}
	return u
}

func (u *Usage) countRun(r *run) {
	pb := r.task.step.pb
	cores := int64(pb.MilliCpu) / milliCPUPerCore
	switch {
	case pb.Fills:
		u.BestEffortCores += cores
		u.BestEffort++
		if r.pace < fullPacePercent {
			u.Throttled++
		}
		return
	case pb.LongRunning:
		u.LongRunningCores += cores
	}
	if pb.TargetMs > 0 {
		u.LatencyCritical++
		if r.usage > int64(pb.TargetMs) {
			u.OverTarget++
		}
	}
}

// countCrashing counts the tasks with counted crashes.
func (s *step) countCrashing() int {
	n := 0
	for _, t := range s.tasks {
		if t.crashes.Count() > 0 {
			n++
		}
	}
	return n
}

func (u *Usage) countWaiting(s *step) {
	switch {
	case !s.isReady():
	case s.pb.Fills:
		u.WaitingBestEffort += s.waiting
	case s.pb.LongRunning:
		u.WaitingLongRunning += s.waiting
	default:
		u.WaitingShort += s.waiting
	}
}

func (u *Usage) countCapacity(x *executor) {
	if !x.free().covers(resources{}) {
		u.OverCapacity++
	}
}
