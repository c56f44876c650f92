package cell

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/interf"
	"github.com/ibischute/ibischute/pkg/tick"
)

// milliCPUPerCore is the unit of CPU requests.
const milliCPUPerCore = 1000

// fullPaceCores returns the cores that a best-effort run would use at its full pace.
func (r *run) fullPaceCores() float64 { return float64(r.task.step.pb.MilliCpu) / milliCPUPerCore }

// usedCores returns the cores that a best-effort run uses according to the last list.
func (r *run) usedCores() float64 { return float64(r.usage) / milliCPUPerCore }

const (
	// raiseTailRatio is the ratio of tail latency to target below which a latency-critical run tolerates more
	// interference.
	raiseTailRatio = 0.7
	// throttleTailRatio is the ratio of tail latency to target beyond which best-effort runs are throttled slightly.
	throttleTailRatio = 0.85
	// severeTailRatio is the ratio beyond which all interference of best-effort runs is removed.
	severeTailRatio = 3
	// nearTargetThrottleShare and overTargetThrottleShare are the shares of the interference that are removed beyond
	// throttleTailRatio and beyond the target. Most of a tail latency is caused by its own task, so larger shares would
	// cost best-effort runs more than latency-critical ones would gain.
	nearTargetThrottleShare = 0.1
	overTargetThrottleShare = 0.4
	// tailObservationDelay is the time from a change of pace until tail latencies show most of its effect: they cover
	// half a second.
	tailObservationDelay = 400 * time.Millisecond
	// tailGrowthFactor is the growth of the tail ratio since the last throttling that justifies another one before the
	// effect of the last one can be observed.
	tailGrowthFactor = 1.15
	// haltShareOfBound is the share of the interference bound for which a latency-critical run may exceed its target
	// before all best-effort runs on its executor are halted. The rest of the bound covers sampling, orders and the
	// delay of the tail latency itself.
	haltShareOfBound = 0.3
	// defaultInterferenceBound is the interference bound if the deployment does not set one.
	defaultInterferenceBound = 4 * time.Second
	// startPauseAfterHalt is how long no best-effort task is started on an executor after a halt.
	startPauseAfterHalt = time.Second
	// bestEffortStartInterval is the shortest time between two starts of best-effort tasks colocated with
	// latency-critical ones, and from a change of pace to the next start.
	bestEffortStartInterval = 300 * time.Millisecond
	// paceStepPercent is the granularity of throttled paces.
	paceStepPercent = 10
	// movePacePercent is the pace below which a run is moved elsewhere once moveGracePeriod has passed.
	movePacePercent = 60
	moveGracePeriod = 500 * time.Millisecond
	// maxMoveSearches bounds the searches for a better executor in one plan.
	maxMoveSearches = 8
	// maxRestartPercent is the progress up to which a run without checkpoints is moved, although it has to start over.
	maxRestartPercent = 25
)

// updateModel updates the interference model with the tail latencies of a new list.
func (c *Cell) updateModel(now tick.Time, x *executor) {
	x.forgetTolerance()
	if len(x.latencyCritical) == 0 {
		return
	}
	cores := map[string]float64{}
	for _, be := range x.bestEffort {
		cores[be.task.step.pb.Image] += be.usedCores()
	}
	for _, lc := range x.latencyCritical {
		pb := lc.task.step.pb
		if lc.percent >= fullPacePercent {
			c.interference.Observe(now, &lc.lastSample, interf.Tail{
				Image: pb.Image, MS: lc.usage, TargetMS: int64(pb.TargetMs), Cores: cores,
			})
		}
		c.updateTolerance(lc)
	}
}

// updateTolerance updates how much interference a latency-critical run tolerates. Placements use the result until the
// next list.
func (c *Cell) updateTolerance(lc *run) {
	pb := lc.task.step.pb
	lc.regression = c.interference.Regressions[pb.Image]
	lc.isNearTarget = float64(lc.usage) > throttleTailRatio*float64(pb.TargetMs)
	lc.headroom = c.interference.Headroom(pb.Image, lc.usage, raiseTailRatio*float64(pb.TargetMs))
}

// adjustPaces sets the paces of best-effort runs so that the colocated latency-critical runs stay below their
// targets.
func (c *Cell) adjustPaces(now tick.Time, p *pass, out []Order) []Order {
	searches := 0
	for _, x := range c.takeReplied() {
		if !x.hasResponded {
			continue
		}
		out = c.throttleStarted(now, x, out)
		if x.isTerminated || x.lastResponseAt == x.pacesAdjustedAt {
			continue
		}
		x.pacesAdjustedAt = x.lastResponseAt
		if len(x.bestEffort) == 0 {
			continue
		}
		out = c.adjustExecutorPaces(now, x, x.latencyCritical, x.orderedBestEffort(), out)
		for _, be := range x.orderedBestEffort() {
			if searches < maxMoveSearches && c.isMoveDue(now, be) {
				searches++
				c.move(p, be)
			}
		}
	}
	return out
}

// noteReply has the paces of the executor adjusted by the next plan. They depend on its replies only.
func (c *Cell) noteReply(x *executor) {
	if !x.hasReplied {
		x.hasReplied = true
		c.replied = append(c.replied, x)
	}
}

// takeReplied returns the executors that have replied since the last call. The result is valid until the next reply.
func (c *Cell) takeReplied() []*executor {
	replied := c.replied
	c.replied = c.replied[:0]
	for _, x := range replied {
		x.hasReplied = false
	}
	return slices.DeleteFunc(replied, func(x *executor) bool { return c.execs[x.entry.ID] != x })
}

// throttleStarted sets the paces of runs that were to start throttled, as soon as they are confirmed, because executors
// start each run at its full pace.
func (c *Cell) throttleStarted(now tick.Time, x *executor, out []Order) []Order {
	for _, be := range x.bestEffort {
		if be.isPaceUnconfirmed && be.confirmedAt != 0 && be.firstListedAt == 0 {
			out = append(out, c.setPace(now, x, be, be.pace))
		}
	}
	return out
}

func (c *Cell) adjustExecutorPaces(
	now tick.Time, x *executor, latencyCritical, bestEffort []*run, out []Order,
) []Order {
	worst, tailRatio := highestTailRatio(latencyCritical)
	if trackOverTarget(x.lastResponseAt, latencyCritical) > c.params.haltTimeout() {
		// Best-effort runs must not continue on the executor of a run that has exceeded its target for too long,
		// whatever the model predicts.
		return c.halt(now, x, bestEffort, out)
	}
	slices.SortFunc(bestEffort, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(c.interferencePerCore(worst, b), c.interferencePerCore(worst, a)), cmp.Compare(b.startedAt, a.startedAt),
			strings.Compare(a.id.Task.Job, b.id.Task.Job), cmp.Compare(a.id.Task.Index, b.id.Task.Index),
		)
	})
	switch {
	case tailRatio > throttleTailRatio && c.isThrottleDue(now, x, tailRatio):
		x.throttledAt, x.throttledTailRatio = now, tailRatio
		out = c.throttle(now, x, worst, bestEffort, throttleShare(tailRatio), out)
	case tailRatio < raiseTailRatio:
		out = c.raisePaces(now, x, bestEffort, out)
	}
	for _, be := range bestEffort {
		if be.isPaceUnconfirmed {
			out = append(out, c.setPace(now, x, be, be.pace))
		}
	}
	return out
}

// isThrottleDue reports whether best-effort runs may be throttled: the effect of the last throttling is observable by
// now, or tail latencies have grown since.
func (c *Cell) isThrottleDue(now tick.Time, x *executor, tailRatio float64) bool {
	return now.Sub(x.throttledAt) >= c.params.PaceDelay+tailObservationDelay ||
		tailRatio > tailGrowthFactor*x.throttledTailRatio
}

// throttleShare returns the share of the interference to remove at a ratio of tail latency to target.
func throttleShare(tailRatio float64) float64 {
	switch {
	case tailRatio > severeTailRatio:
		return 1
	case tailRatio > 1:
		return overTargetThrottleShare
	}
	return nearTargetThrottleShare
}

// halt sets the paces of all best-effort runs of an executor to 0.
func (c *Cell) halt(now tick.Time, x *executor, bestEffort []*run, out []Order) []Order {
	x.noBestEffortUntil = max(x.noBestEffortUntil, now.Add(startPauseAfterHalt))
	for _, be := range bestEffort {
		if be.pace > 0 || be.isPaceUnconfirmed {
			c.emit(Event{Name: "halted", Task: be.id.Task, Run: be.id.Number, Executor: x.entry.ID})
			out = append(out, c.setPace(now, x, be, 0))
		}
	}
	return out
}

// haltTimeout is how long a latency-critical run may exceed its target before all best-effort runs on its
// executor are halted.
func (p Params) haltTimeout() time.Duration {
	bound := p.InterferenceBound
	if bound == 0 {
		bound = defaultInterferenceBound
	}
	return time.Duration(haltShareOfBound * float64(bound))
}

// trackOverTarget records since when latency-critical runs have exceeded their targets, and returns the longest such
// time.
func trackOverTarget(now tick.Time, latencyCritical []*run) time.Duration {
	longest := time.Duration(0)
	for _, lc := range latencyCritical {
		if lc.usage <= int64(lc.task.step.pb.TargetMs) {
			lc.overTargetSince = 0
			continue
		}
		if lc.overTargetSince == 0 {
			lc.overTargetSince = now
		}
		longest = max(longest, now.Sub(lc.overTargetSince))
	}
	return longest
}

// highestTailRatio returns the latency-critical run with the highest ratio of tail latency to target, and that ratio.
func highestTailRatio(latencyCritical []*run) (*run, float64) {
	var worst *run
	highest := 0.0
	for _, lc := range latencyCritical {
		if ratio := float64(lc.usage) / float64(lc.task.step.pb.TargetMs); ratio > highest {
			worst, highest = lc, ratio
		}
	}
	return worst, highest
}

// throttle removes a share of the interference on the worst run. It throttles the runs with the most interference per
// core first.
func (c *Cell) throttle(now tick.Time, x *executor, worst *run, bestEffort []*run, share float64, out []Order) []Order {
	x.noBestEffortUntil = max(x.noBestEffortUntil, now.Add(bestEffortStartInterval))
	total := 0.0
	for _, be := range bestEffort {
		total += c.interferenceOf(worst, be)
	}
	excess := total * share
	for _, be := range bestEffort {
		load := c.interferenceOf(worst, be)
		if excess <= 0 || load <= 0 || be.isMarkedForStopping {
			continue
		}
		keep := max(0, 1-excess/load)
		excess -= load * (1 - keep)
		out = append(out, c.setPace(now, x, be, int(keep*float64(be.pace))/paceStepPercent*paceStepPercent))
	}
	return out
}

// raisePaces raises the paces of throttled runs as far as the headroom of the latency-critical runs permits, those with
// the least interference per core first.
func (c *Cell) raisePaces(now tick.Time, x *executor, bestEffort []*run, out []Order) []Order {
	added := make([]float64, len(x.latencyCritical))
	for _, be := range slices.Backward(bestEffort) {
		if be.pace == fullPacePercent || be.isMarkedForStopping || be.firstListedAt == 0 {
			continue
		}
		raise := c.highestRaise(x, be, added)
		if raise < paceStepPercent {
			continue
		}
		for i, lc := range x.latencyCritical {
			added[i] += c.interferencePerCore(lc, be) * be.fullPaceCores() * float64(raise) / fullPacePercent
		}
		x.noBestEffortUntil = max(x.noBestEffortUntil, now.Add(bestEffortStartInterval))
		out = append(out, c.setPace(now, x, be, be.pace+raise))
	}
	return out
}

// highestRaise returns by how much the pace of a best-effort run may be raised, given the load that other raises add to
// each latency-critical run.
func (c *Cell) highestRaise(x *executor, be *run, added []float64) int {
	raise := float64(fullPacePercent - be.pace)
	for i, lc := range x.latencyCritical {
		load := c.interferencePerCore(lc, be) * be.fullPaceCores()
		if load > 0 {
			raise = min(raise, max(0, lc.headroom-added[i])/load*fullPacePercent)
		}
	}
	return int(raise) / paceStepPercent * paceStepPercent
}

// interferenceOf returns the load that a best-effort run adds to a latency-critical run at its present pace.
func (c *Cell) interferenceOf(lc, be *run) float64 {
	return c.interferencePerCore(lc, be) * be.fullPaceCores() * float64(be.pace) / fullPacePercent
}

// interferencePerCore returns the load that each core of a best-effort run adds to a latency-critical run.
func (c *Cell) interferencePerCore(lc, be *run) float64 {
	if lc == nil {
		return 0
	}
	return c.interference.Weight(lc.task.step.pb.Image, be.task.step.pb.Image)
}

// isMoveDue reports whether a run's pace has been below movePacePercent for at least moveGracePeriod and the run can be
// moved without losing much progress.
func (c *Cell) isMoveDue(now tick.Time, be *run) bool {
	pb := be.task.step.pb
	if be.isMarkedForStopping || be.pace >= movePacePercent || now.Sub(be.lowPaceSince) < moveGracePeriod || pb.Gang {
		return false
	}
	return pb.Checkpointing || be.percent <= maxRestartPercent
}

// move marks a run for stopping if another executor can take it at its full pace.
func (c *Cell) move(p *pass, be *run) {
	if x := p.candidates(be.task.step).best(be.task); x == nil || x == be.exec {
		return
	}
	c.markForStopping(be)
	c.emit(Event{Name: "moved", Task: be.id.Task, Run: be.id.Number, Executor: be.exec.entry.ID, Detail: "slowed"})
}

func (c *Cell) setPace(now tick.Time, x *executor, r *run, percent int) Order {
	if r.pace >= movePacePercent && percent < movePacePercent {
		r.lowPaceSince = now
	}
	if percent > r.pace {
		// The time without progress at the lower pace is no sign of a stall.
		r.progressAt = now
	}
	r.countPaceLoss(now)
	r.pace = percent
	r.isPaceUnconfirmed = false
	return Order{
		Target: x.target(), Pace: &orders.Pace{Run: r.id, Percent: percent, FencingToken: x.use()}, madeAt: now,
	}
}

// toleratesBestEffort reports whether the latency-critical runs of an executor tolerate one more best-effort task, and
// returns the load that it would add.
func toleratesBestEffort(now tick.Time, x *executor, s *step) (float64, bool) {
	return x.tolerates(now, func(g *interf.Regression) float64 { return addedLoad(g, s) })
}

// negligibleInterference is the added load below which a best-effort task needs no headroom and no pause since the last
// start.
const negligibleInterference = 0.02
