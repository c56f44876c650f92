package leader_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

// labelAdvisor permits every executor.
type labelAdvisor struct{}

// Advise implements orders.Advisor.
func (labelAdvisor) Advise(_ context.Context, _ orders.Task, ids []string) (orders.Advice, error) {
	a := orders.Advice{Tickets: map[string]string{}, Validity: 20 * time.Second}
	for _, id := range ids {
		a.Tickets[id] = "t"
	}
	return a, nil
}

// TestAdviceIsAskedForExecutorWithLabel checks a queue with a policy service and a step that only few executors have
// the label for.
func TestAdviceIsAskedForExecutorWithLabel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		r.queues[0].Advice = &queue.AdviceTiming{
			Decision: 5 * time.Millisecond, Period: time.Millisecond, Validity: 20 * time.Second,
		}
		r.advisor = labelAdvisor{}
		r.decode = func(id string, _ []byte) (queue.Executor, error) {
			e, err := decodeExecutor(id, nil)
			e.Labels = []string{id}
			return e, err
		}
		for i := executors; i < 40; i++ {
			id := fmt.Sprintf("x%d", i)
			r.fleet.Add(id)
			r.record(logs.Backends, id, []byte(id))
		}
		r.startNodes(1)
		r.submit(rigJob(1, &jobpb.Step{RequiresLabel: "x39"}))
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}
