package cell

import (
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// durationModel estimates the ratio of actual run durations to the estimates of the steps, for each queue.
type durationModel struct {
	ratios map[string]float64
}

// newestRunWeight is the weight of the newest run in the moving average of a queue's ratio.
const newestRunWeight = 0.05

func newDurationModel() *durationModel { return &durationModel{ratios: map[string]float64{}} }

// observe updates the ratio of the queue of a run that has ended.
func (m *durationModel) observe(now tick.Time, r *run, reason orders.EndReason) {
	estimate := float64(r.task.step.pb.EstimateMs)
	if reason != orders.EndedDone || r.confirmedAt == 0 || estimate == 0 {
		return
	}
	ratio := millis(now) - millis(r.confirmedAt)
	ratio /= estimate
	q := r.task.step.job.pb.Queue
	old, ok := m.ratios[q]
	if !ok {
		old = 1
	}
	m.ratios[q] = old + newestRunWeight*(ratio-old)
}

// ratioOf returns the average ratio of a queue, which is 1 before its first run is done.
func (m *durationModel) ratioOf(queue string) float64 {
	if r, ok := m.ratios[queue]; ok {
		return r
	}
	return 1
}
