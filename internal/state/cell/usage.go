package cell

// Usage is how full the executors are and how many tasks wait, by what the tasks do.
type Usage struct {
	// Cores, UsedCores and LastingCores are processor shares of all executors in use: all of it, what is taken by tasks
	// that do not fill, and what of that is taken by tasks that run until they are cancelled.
	Cores, UsedCores, LastingCores int64
	// FillingCores is what the tasks that fill ask for.
	FillingCores int64
	// WaitingShort, WaitingLasting and WaitingFilling are the tasks whose turn has come and that have no run.
	WaitingShort, WaitingLasting, WaitingFilling int
	// Serving and OverTarget are the tasks that serve under a target, and those of them that are over it.
	Serving, OverTarget int
	// Filling and Slowed are the runs that fill, and those of them below their full pace.
	Filling, Slowed int
	// Jobs is the number of jobs that have not ended.
	Jobs int
}

// Usage returns the present usage.
func (c *Cell) Usage() Usage {
	u := Usage{Jobs: len(c.active)}
	for _, x := range c.execs {
		if x.isDead || !x.isListed {
			continue
		}
		u.Cores += x.total.milliCPU / coreThousandths
		u.UsedCores += x.used.milliCPU / coreThousandths
		for _, r := range x.runs {
			u.countRun(r)
		}
	}
	for _, j := range c.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				u.count(s)
			}
		}
	}
	return u
}

func (u *Usage) countRun(r *run) {
	pb := r.task.step.pb
	cores := int64(pb.MilliCpu) / coreThousandths
	switch {
	case pb.Fills:
		u.FillingCores += cores
		u.Filling++
		if r.pace < fullPace {
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

func (u *Usage) count(s *step) {
	switch {
	case !s.isOpen():
	case s.pb.Fills:
		u.WaitingFilling += s.idle
	case s.pb.LongRunning:
		u.WaitingLasting += s.idle
	default:
		u.WaitingShort += s.idle
	}
}
