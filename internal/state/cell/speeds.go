package cell

import (
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

// speeds learns how the estimates of a queue's steps relate to the times that its tasks take.
type speeds struct {
	ratio map[string]float64
}

// ratioWeight is the weight of the newest run in the mean ratio of a queue.
const ratioWeight = 0.05

func newSpeeds() *speeds { return &speeds{ratio: map[string]float64{}} }

// observe takes a run that has ended.
func (s *speeds) observe(now tick.Time, r *run, how orders.Ending) {
	estimate := float64(r.task.step.pb.EstimateMs)
	if how != orders.EndedDone || r.confirmedAt == 0 || estimate == 0 {
		return
	}
	ratio := millis(now) - millis(r.confirmedAt)
	ratio /= estimate
	q := r.task.step.job.pb.Queue
	old, ok := s.ratio[q]
	if !ok {
		old = 1
	}
	s.ratio[q] = old + ratioWeight*(ratio-old)
}

// of returns the mean ratio of a queue.
func (s *speeds) of(queue string) float64 {
	if r, ok := s.ratio[queue]; ok {
		return r
	}
	return 1
}
