package cell

import "time"

// crossLink returns how long a message waits for and takes on the leader's link.
func (sim *simulation) crossLink() time.Duration {
	if sim.linkCallTime == 0 {
		return 0
	}
	sim.linkFreeAt = max(sim.linkFreeAt, sim.now).Add(sim.linkCallTime)
	return sim.linkFreeAt.Sub(sim.now)
}

// call delivers a call to an executor and the reply to the leader. Either may be lost.
func (sim *simulation) call(l *simLeader, x *simExecutor, handle func() func(), onTimeout func()) {
	sim.longCall(l, x, 0, func() bool { return true }, handle, onTimeout)
}

// longCall is a call that the executor handles once isReady is true, at the latest after the wait.
func (sim *simulation) longCall(
	l *simLeader, x *simExecutor, wait time.Duration, isReady func() bool, handle func() func(), onTimeout func(),
) {
	answered := false
	sim.after(simCallTimeout+wait, func() {
		if !answered {
			answered = true
			l.deliver(onTimeout)
		}
	})
	x = sim.processAt(x)
	if !sim.isReachable(l, x) || sim.chance(sim.faults.requestLossRate) {
		return
	}
	delay := sim.randomDuration(time.Millisecond, 5*time.Millisecond) + sim.crossLink()
	isLate := sim.chance(sim.faults.lateRequestRate)
	if isLate {
		delay = sim.randomDuration(2*time.Second, 12*time.Second)
		sim.disturbedUntil = max(sim.disturbedUntil, sim.now.Add(delay))
	}
	startedMS := x.startedMS
	isCut := func() bool { return x.isDown || x.startedMS != startedMS || x.isPartitioned }
	respond := func() {
		if isCut() {
			return
		}
		onReply := handle()
		if isLate || sim.chance(sim.faults.replyLossRate) {
			return
		}
		sim.after(sim.randomDuration(time.Millisecond, 5*time.Millisecond)+sim.crossLink(), func() {
			if answered || !sim.isReachable(l, x) {
				return
			}
			answered = true
			l.deliver(onReply)
		})
	}
	sim.after(delay, func() {
		if !isCut() {
			sim.waitUntil(wait, isReady, respond)
		}
	})
}

// waitUntil calls f once isReady is true, at the latest after the limit.
func (sim *simulation) waitUntil(limit time.Duration, isReady func() bool, f func()) {
	if limit <= 0 || isReady() {
		f()
		return
	}
	pause := min(limit, holdPollInterval)
	sim.after(pause, func() { sim.waitUntil(limit-pause, isReady, f) })
}

// holdPollInterval is the interval at which an executor that waits with a response looks for ended runs.
const holdPollInterval = 50 * time.Millisecond

// processAt returns the executor that answers at the address of x: x itself, or the one that has replaced it.
func (sim *simulation) processAt(x *simExecutor) *simExecutor {
	if !x.isGone {
		return x
	}
	for _, y := range sim.execs {
		if y.address == x.address && !y.isGone {
			return y
		}
	}
	return x
}

func (sim *simulation) isReachable(l *simLeader, x *simExecutor) bool {
	return !x.isDown && x.isPartitioned == l.isPartitioned
}
