package cell

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// The quantiles of durations that decisions depend on.
const (
	// typicalQuantile gives the time that a run typically takes.
	typicalQuantile = 0.5
	// endQuantile gives the time by which a run will have ended, for drains and reservations. One wrong in ten costs a
	// stop that comes late, or a reservation that expires.
	endQuantile = 0.9
	// earlyQuantile gives the time by which a run may already have ended.
	earlyQuantile = 0.05
)

// observeDuration adds the ratio of a run that has ended to the model of durations. Its time at a throttled pace counts
// as the work done in it. Only whole runs count: what remains of one that resumed or was adopted is not known exactly.
// Runs on slow executors say little about their tasks.
func (c *Cell) observeDuration(now tick.Time, r *run, reason orders.EndReason) {
	s := r.task.step
	if reason != orders.EndedDone || r.confirmedAt == 0 || s.pb.EstimateMs == 0 || r.isPartial {
		return
	}
	r.countPaceLoss(now)
	worked := now.Sub(r.confirmedAt) - r.lostToPace
	c.emitSpeedChange(r.exec, c.speed.Done(now, r.exec.entry.ID, r.id, worked, c.sampleOf(now, r)))
	if !c.speed.IsSlow(r.exec.entry.ID) && !c.speed.WasOnSlow(r.id) {
		c.durations.Observe(s.job.pb.Queue, s.job.id, float64(worked)/float64(s.estimate()))
	}
}

// countPaceLoss updates the working time that the run has lost to throttled paces.
func (r *run) countPaceLoss(now tick.Time) {
	r.lostToPace += now.Sub(max(r.pacedAt, r.startedAt)) * time.Duration(fullPacePercent-r.pace) / fullPacePercent
	r.pacedAt = now
}

func (s *step) estimate() time.Duration { return time.Duration(s.pb.EstimateMs) * time.Millisecond }

// remainingTime returns the time within which a run will have ended, with the probability of endQuantile.
func (c *Cell) remainingTime(r *run) time.Duration {
	// A run that is slow takes at least as long as it does at its present rate.
	here, _, _ := c.speed.Remaining(r.id, r.percent)
	return max(here, c.remainingQuantile(r, endQuantile))
}

// remainingQuantile returns the quantile of the remaining duration of a run.
func (c *Cell) remainingQuantile(r *run, quantile float64) time.Duration {
	s := r.task.step
	ratio := c.durations.Ratio(s.job.pb.Queue, s.job.id, quantile)
	return time.Duration(float64(s.estimate()) * ratio * float64(100-r.percent) / 100)
}

// maxSpeedup is how much faster than its typical duration a run may be.
const maxSpeedup = 2

// earliestEnd returns the shortest time that the run may have left.
func (c *Cell) earliestEnd(r *run) time.Duration {
	return min(c.remainingQuantile(r, earlyQuantile), c.remainingQuantile(r, typicalQuantile)/maxSpeedup)
}
