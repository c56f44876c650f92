package cell

import (
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/tick"
)

// pass is one planning pass: it finds executors for waiting tasks.
type pass struct {
	now tick.Time
	// executors has all executors, pools the usable ones of each service, and roomIndexes those of the
	// pools that were searched.
	executors   []*executor
	pools       map[string][]*executor
	roomIndexes map[string]*roomIndex
	// unplaceable has, for each service, requests for which no executor was found. They rule out all requests that need at
	// least as much.
	unplaceable map[string][]request
	// isAvoided reports whether an executor is slow and should get no run.
	isAvoided func(x *executor) bool
	// wasMovedFrom returns a function that reports whether the executor is slow and the task was just moved from such a
	// one.
	wasMovedFrom func(t *task) func(x *executor) bool
	// weights has the weights that were looked up, by best-effort image.
	weights map[string]weights
	// extremes has the results of extremesOf.
	extremes map[string]extremes
	cell     *Cell
	// isLimitedByReservation is true if a reservation has kept the step that is being placed from an executor.
	isLimitedByReservation bool
}

type request struct {
	resources resources
	label     string
	// image and milliCPU are set for best-effort tasks only. Interference depends on the image, and their CPU is not part
	// of resources.
	image    string
	milliCPU uint32
}

func requestOf(s *step, need resources) request {
	r := request{resources: need, label: s.pb.RequiresLabel}
	if s.pb.Fills {
		r.image, r.milliCPU = s.pb.Image, s.pb.MilliCpu
	}
	return r
}

// rulesOut reports whether o cannot be placed, given that r could not: both have the same constraints and o needs at
// least as much.
func (r request) rulesOut(o request) bool {
	return r.label == o.label && r.image == o.image && o.milliCPU >= r.milliCPU && o.resources.covers(r.resources)
}

// maxUnplaceable bounds the unplaceable requests remembered for each service in one pass.
const maxUnplaceable = 32

// newPass begins a planning pass.
func (c *Cell) newPass(now tick.Time) *pass {
	for _, x := range c.fleet {
		x.limitCold(now, c.params.Cold)
	}
	return c.newSearch(now)
}

// newSearch returns a pass with the limits of cold executors as of the last planning pass.
func (c *Cell) newSearch(now tick.Time) *pass {
	c.ratings = 0
	p := &pass{
		now: now, cell: c, executors: c.fleet, pools: map[string][]*executor{}, roomIndexes: map[string]*roomIndex{},
		unplaceable:  map[string][]request{},
		weights:      map[string]weights{},
		extremes:     map[string]extremes{},
		isAvoided:    func(x *executor) bool { return c.isAvoided(now, x) },
		wasMovedFrom: func(t *task) func(x *executor) bool { return c.wasMovedFrom(now, t) },
	}
	p.fillPools()
	return p
}

// fillPools adds the usable executors to the pools of their services.
func (p *pass) fillPools() {
	service, pool := "", make([]*executor, 0, len(p.executors))
	for _, x := range p.executors {
		if !x.isUsable(p.now) {
			continue
		}
		if x.service() != service && len(pool) > 0 {
			p.pools[service] = pool
			pool = p.pools[x.service()]
		}
		service = x.service()
		pool = append(pool, x)
	}
	if len(pool) > 0 {
		p.pools[service] = pool
	}
}

// rateExecutor returns the cost of an executor for a task of the step, and whether it can take one.
func (p *pass) rateExecutor(s *step, need resources, x *executor) (float64, bool) {
	if !p.hasRoomFor(s, need, x) {
		return 0, false
	}
	cost := x.cost(s, need)
	if p.isAvoided(x) {
		cost += costSlow
	}
	if !s.pb.Fills {
		return cost, true
	}
	load, ok := x.tolerates(p.now, p.loadOf(s))
	if !ok {
		return 0, false
	}
	return cost + costPerLoad*load, true
}

// hasRoomFor reports whether the executor can take a task of the step, regardless of interference.
func (p *pass) hasRoomFor(s *step, need resources, x *executor) bool {
	p.cell.ratings++
	if !x.allows(s, need) || !s.isPermittedOn(p.now, x) || !x.suspicion.admits(p.now, s) {
		return false
	}
	if !x.hasBestEffortCPU(s) || x.isGuarded(p.now, s) {
		return false
	}
	if p.cell.isReservedForOthers(p.now, s, need, x) {
		p.isLimitedByReservation = true
		return false
	}
	return true
}

func (p *pass) isUnplaceable(service string, need resources, s *step) bool {
	req := requestOf(s, need)
	return slices.ContainsFunc(p.unplaceable[service], func(r request) bool { return r.rulesOut(req) })
}

// isColdFull reports whether the executor runs as many tasks as it may while it is cold.
func (x *executor) isColdFull() bool { return x.isCold && len(x.runs)+len(x.kept) >= x.coldLimit }

// allows reports whether the executor meets the resource, label and anti-affinity requirements of a task of the step,
// and may run one more task.
func (x *executor) allows(s *step, need resources) bool {
	if !x.free().covers(need) {
		return false
	}
	if !x.satisfies(s.pb.RequiresLabel) {
		return false
	}
	if x.isColdFull() {
		return false
	}
	if s.pb.MaxPerExecutor > 0 && x.countTasks(s) >= int(s.pb.MaxPerExecutor) {
		return false
	}
	return true
}

// hasBestEffortCPU reports whether the executor has the CPU for a task of the step, if that is a best-effort task.
func (x *executor) hasBestEffortCPU(s *step) bool {
	return !s.pb.Fills || x.freeBestEffortMilliCPU() >= int64(s.pb.MilliCpu)
}

// avoids reports whether the task has failed on the executor and should start on another one.
func (t *task) avoids(x *executor) bool {
	return t.hasFailedOn(x) && len(t.failedOn) < maxFailedExecutors
}

// hasFailedOn reports whether a run of the task has failed on the executor.
func (t *task) hasFailedOn(x *executor) bool { return slices.Contains(t.failedOn, x.entry.ID) }

// avoidsFailedOn reports whether the task still waits for room on an executor on which it has not failed. It does so
// for failedOnPause, if there is another executor. Before it spends its last attempt on the only one on which it has
// failed, it waits for lastAttemptPause, if another is large enough. A long-running task does not wait.
func (t *task) avoidsFailedOn(p *pass) bool {
	if len(t.failedOn) == 0 || len(t.failedOn) >= maxFailedExecutors || t.step.pb.LongRunning {
		return false
	}
	waited := p.now.Sub(t.lastFailedAt)
	isLast := len(t.failedOn) == 1 && t.isLastAttempt()
	if isLast && waited < lastAttemptPause && slices.ContainsFunc(p.executors, t.mayTryOn) {
		return true
	}
	if waited >= failedOnPause {
		return false
	}
	label := t.step.pb.RequiresLabel
	return slices.ContainsFunc(p.pools[t.step.job.queue.Service], func(x *executor) bool {
		return x.satisfies(label) && !t.hasFailedOn(x)
	})
}

// isLastAttempt reports whether the job fails with the next failure of the task.
func (t *task) isLastAttempt() bool {
	return len(t.failedRuns) >= t.step.job.queue.MaxAttempts-1
}

// mayTryOn reports whether the task has not failed on the executor, which is large enough for it.
func (t *task) mayTryOn(x *executor) bool {
	isAvailable := x.isListed && !x.isTerminated && !x.isDraining() && !x.isEvacuated
	isOfService := x.service() == t.step.job.queue.Service
	isRejected := t.step.advice != nil && t.step.advice.rejected[x.entry.ID]
	if !isAvailable || !isOfService || isRejected || t.hasFailedOn(x) {
		return false
	}
	return x.satisfies(t.step.pb.RequiresLabel) && x.total.covers(resourcesOf(t.step.pb))
}

const (
	// maxFailedExecutors is the number of executors from which a task may be kept after failures. If it has failed on that
	// many, the task itself is assumed to be the cause.
	maxFailedExecutors = 8
	// failedOnPause is half the time for which a due task may have no run.
	failedOnPause = 1500 * time.Millisecond
	// lastAttemptPause is the same for the last attempt on the only executor on which the task has failed.
	lastAttemptPause = 10 * time.Second
	// maxTrialPauses bounds the growth of a task's pause before trials. A long-running task may have no run for that long.
	maxTrialPauses = 4
)

// countTasks returns the number of runs of the step's tasks on the executor, with those that are about to move there.
func (x *executor) countTasks(s *step) int {
	n := x.countKept(s)
	for _, r := range x.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// meanLatencyCriticalUtilization is the share of their requested CPU that latency-critical tasks use on average.
const meanLatencyCriticalUtilization = 0.5

// freeBestEffortMilliCPU returns the CPU that is left for best-effort tasks: what is not requested, and what
// latency-critical tasks leave idle.
func (x *executor) freeBestEffortMilliCPU() int64 {
	idle := int64((1 - meanLatencyCriticalUtilization) * float64(x.latencyCriticalMilliCPU))
	return x.free().milliCPU + idle - x.bestEffortMilliCPU
}

const (
	// costRemoteData outweighs every other cost, because a task far from its data takes several times as long.
	costRemoteData = 1000
	// costPerBestEffortRun is the cost of each best-effort run on an executor for a latency-critical task.
	costPerBestEffortRun = 0.1
	// costFirstLatencyCritical is the cost of placing a latency-critical task on an executor that has none yet.
	costFirstLatencyCritical = 1
	// costPerLoad is multiplied by the load that a best-effort task adds to latency-critical ones.
	costPerLoad = 50
	// costPerOtherImage is the cost of each latency-critical run of another image on the executor. The fewer images it
	// has, the more kinds of best-effort tasks can run there without interference.
	costPerOtherImage = 2
	// costCold is the cost of an executor that is cold for a latency-critical task or one of the highest priority. It
	// exceeds every cost but those of remote data and of failures, so that such tasks start there only if no other has
	// room.
	costCold = 400
	// costFailedOn is the cost of an executor on which the task has failed.
	costFailedOn = 500
	// costPerFailure is the cost of each failure since the executor's last successful run.
	costPerFailure = 50
)

// cost rates an executor for a task of the step. Lower is better.
func (x *executor) cost(s *step, need resources) float64 {
	cost := 0.0
	if s.pb.DataRack != "" && !x.isInRack(s.pb.DataRack) {
		cost += costRemoteData
	}
	cost += costPerFailure * float64(x.suspicion.failures)
	if x.isCold && (s.pb.TargetMs > 0 || s.job.queue.Priority == 0) {
		cost += costCold
	}
	total := float64(max(1, x.total.milliCPU))
	if s.pb.Fills {
		return cost - float64(x.freeBestEffortMilliCPU())/total
	}
	if s.pb.TargetMs > 0 {
		cost += costPerBestEffortRun * float64(len(x.bestEffort))
		if len(x.latencyCritical) == 0 {
			cost += costFirstLatencyCritical
		}
		cost += costPerOtherImage * float64(x.countOtherImages(s.pb.Image))
	}
	return cost + float64(x.free().milliCPU-need.milliCPU)/total
}

// countOtherImages counts the latency-critical runs of other images.
func (x *executor) countOtherImages(image string) int {
	n := 0
	for _, r := range x.latencyCritical {
		if r.task.step.pb.Image != image {
			n++
		}
	}
	return n
}
