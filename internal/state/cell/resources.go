package cell

import (
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// resources are what tasks need of an executor.
type resources struct {
	milliCPU, memoryMB, gpus int64
}

// resourcesOf returns what a task of the step needs. The CPU of best-effort tasks is accounted for separately, since
// they may also use CPU that latency-critical tasks leave idle (see freeBestEffortMilliCPU).
func resourcesOf(s *jobpb.Step) resources {
	r := resources{milliCPU: int64(s.MilliCpu), memoryMB: int64(s.MemoryMb), gpus: int64(s.Gpus)}
	if s.Fills {
		r.milliCPU = 0
	}
	return r
}

func (r resources) plus(o resources) resources {
	return resources{r.milliCPU + o.milliCPU, r.memoryMB + o.memoryMB, r.gpus + o.gpus}
}

func (r resources) minus(o resources) resources {
	return resources{r.milliCPU - o.milliCPU, r.memoryMB - o.memoryMB, r.gpus - o.gpus}
}

func (r resources) covers(o resources) bool {
	return r.milliCPU >= o.milliCPU && r.memoryMB >= o.memoryMB && r.gpus >= o.gpus
}

// String returns the resources for the log.
func (r resources) String() string {
	return fmt.Sprintf("%d mCPU, %d MB, %d GPUs", r.milliCPU, r.memoryMB, r.gpus)
}
