package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/queue"
)

// TestExecutorBackAtOtherAddressIsUsed checks an executor that starts again under its id at another address, while its
// former address belongs to another executor.
func TestExecutorBackAtOtherAddressIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.decode = func(id string, value []byte) (queue.Executor, error) {
			e, err := decodeExecutor(id, nil)
			e.Address = string(value)
			e.Labels = []string{id}
			return e, err
		}
		r.startNodes(1)
		r.calls.edit(func() { r.calls.address["x0"] = "new" })
		r.fleet.Add("x0")
		time.Sleep(4 * time.Second)
		r.record(logs.Backends, "x0", []byte("new"))
		time.Sleep(5 * time.Second)
		r.submit(rigJob(1, &jobpb.Step{RequiresLabel: "x0"}))
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}
