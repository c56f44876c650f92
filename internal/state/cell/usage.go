package cell

// Usage is the utilization of the executors and the number of waiting tasks, by kind of task.
type Usage struct {
	// Cores is the CPU capacity of all listed executors, UsedCores the part of it allocated to tasks that are not
	// best-effort, and LastingCores the part of that allocated to long-running tasks.
	Cores, UsedCores, LastingCores int64
	// FillingCores are the cores requested by best-effort tasks.
	FillingCores int64
	// WaitingShort, WaitingLasting and WaitingFilling count the tasks that are ready and have no run: short, long-running
	// and best-effort ones.
	WaitingShort, WaitingLasting, WaitingFilling int
	// Serving counts the running latency-critical tasks, OverTarget those of them that exceed their latency target.
	Serving, OverTarget int
	// Filling counts the best-effort runs, Slowed those of them below their full pace.
	Filling, Slowed int
	// Jobs is the number of jobs that have not ended.
	Jobs int
}

// Usage returns the present utilization.
func (c *Cell) Usage() Usage {
	u := Usage{Jobs: len(c.active)}
	for _, x := range c.execs {
		if x.isTerminated || !x.isListed {
			continue
		}
		u.Cores += x.total.milliCPU / milliCPUPerCore
		u.UsedCores += x.used.milliCPU / milliCPUPerCore
		for _, r := range x.runs {
			u.countRun(r)
		}
	}
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				u.countWaiting(s)
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
		u.FillingCores += cores
		u.Filling++
		if r.pace < fullPacePercent {
			u.Slowed++
		}
		return
	case pb.LongRunning:
		u.LastingCores += cores
	}
	if pb.TargetMs > 0 {
		u.Serving++
		if r.usage > int64(pb.TargetMs) {
			u.OverTarget++
		}
	}
}

func (u *Usage) countWaiting(s *step) {
	switch {
	case !s.isReady():
	case s.pb.Fills:
		u.WaitingFilling += s.waiting
	case s.pb.LongRunning:
		u.WaitingLasting += s.waiting
	default:
		u.WaitingShort += s.waiting
	}
}
