package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
)

func advisedBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, machine("a"), machine("b"), machine("c"))
	b.cell.Configure(&queue.Configuration{Version: 2, Queues: []queue.Queue{{
		Name: "q", Service: "svc", MaxAttempts: 3, StretchFactor: 2, TargetMS: 1000,
		Advice: &queue.Advice{DecisionMS: 5, PeriodMS: 1, ValidityMS: 3000},
	}}})
	b.accept("j", "q", &jobpb.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 5000})
	return b
}

func TestStartsOnlyWithATicket(t *testing.T) {
	b := advisedBench(t)
	assert.Equal(t, len(b.plan()), 0)
	q, ok := b.cell.Question(b.now)
	assert.Assert(t, ok)
	assert.Equal(t, q.Step.Job, "j")
	assert.Equal(t, len(q.Executors), 3)
	_, ok = b.cell.Question(b.now)
	assert.Assert(t, !ok, "one question at a time")
	b.cell.Advised(b.now, b.now, q, orders.Advice{Tickets: map[string]string{"b": "t-b"}, Validity: 3 * time.Second}, nil)
	list := b.plan()
	assert.Equal(t, len(list), 2)
	for _, o := range list {
		assert.Equal(t, o.Target.ID, "b")
		assert.Equal(t, o.Start.Ticket, "t-b")
	}
	_, ok = b.cell.Question(b.now)
	assert.Assert(t, !ok, "the others are known to be bad")
}

func TestExpiredTicketIsAskedForAgain(t *testing.T) {
	b := advisedBench(t)
	b.plan()
	q, _ := b.cell.Question(b.now)
	sent := b.now
	b.pass(4 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		b.held(id)
	}
	b.cell.Advised(b.now, sent, q, orders.Advice{Tickets: map[string]string{"b": "t-b"}, Validity: 3 * time.Second}, nil)
	assert.Equal(t, len(b.plan()), 0)
	q, ok := b.cell.Question(b.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, q.Executors, []string{"b"})
}

func TestRefusedTicketIsAskedForAgain(t *testing.T) {
	b := advisedBench(t)
	b.plan()
	q, _ := b.cell.Question(b.now)
	b.cell.Advised(b.now, b.now, q, orders.Advice{Tickets: map[string]string{"b": "t-b"}, Validity: 3 * time.Second}, nil)
	assert.Equal(t, len(b.cell.Plan(b.now, benchWallMS, unbounded)), 0)
	b.commit()
	refused := b.cell.Plan(b.now, benchWallMS, unbounded)
	assert.Equal(t, len(refused), 2)
	for _, o := range refused {
		b.cell.Replied(b.now, o, orders.Reply{Outcome: orders.NoTicket, ClockMS: 1000})
	}
	b.pass(100 * time.Millisecond)
	assert.Equal(t, len(b.plan()), 0)
	q, ok := b.cell.Question(b.now)
	assert.Assert(t, ok)
	assert.DeepEqual(t, q.Executors, []string{"b"})
}
