package workio

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/ibischute/ibischute/pkg/demand"
)

// BenchmarkSync measures the bytes that one running task adds to the request and the response of a sync.
func BenchmarkSync(b *testing.B) {
	bytes := 0
	for i := range b.N {
		id := TaskID(fmt.Sprintf("statements-november.%d", i%1000))
		request, _ := json.Marshal(Lease{ID: id, Attempt: 1 << 30, LeaseMS: 60_000})
		answer, _ := json.Marshal(Task{
			ID: id, Attempt: 1 << 30, LeaseMS: 60_000, RunMS: 600_000, State: StateRunning,
			Size: demand.Vector{CPU: 4000, Memory: 8000},
		})
		bytes += len(request) + len(answer)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/task")
}
