package leader_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memex"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// clockUnit is the unit in which an executor states its clock, rounded down.
const clockUnit = time.Millisecond

// leaseWatch observes the heartbeats that are stored and the deadlines of the orders.
type leaseWatch struct {
	mu sync.Mutex
	// heartbeat is when the last heartbeat that was stored was sent.
	heartbeat tick.Time
	// failure is how the log fails to take heartbeats, or nil.
	failure func(ctx context.Context) error
	// holds and starts count the orders with a deadline while heartbeats fail. The others are how long after the heartbeat
	// their leases can last.
	holds, starts             int
	longestHold, longestStart time.Duration
}

// heartbeatLog notes the heartbeats that are stored, and fails them.
type heartbeatLog struct {
	logs.Log
	watch *leaseWatch
}

// Append implements logs.Log.
func (l heartbeatLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	if t != logs.Election || len(records) == 0 {
		return l.Log.Append(ctx, t, p, records, c)
	}
	sent := tick.Now()
	l.watch.mu.Lock()
	failure := l.watch.failure
	l.watch.mu.Unlock()
	if failure != nil {
		return 0, failure(ctx)
	}
	offset, err := l.Log.Append(ctx, t, p, records, c)
	l.watch.mu.Lock()
	defer l.watch.mu.Unlock()
	if err == nil {
		l.watch.heartbeat = sent
	}
	return offset, err
}

// deadlineExecutors notes the deadlines of orders that reach an executor.
type deadlineExecutors struct {
	orders.Executors
	watch *leaseWatch
}

// Hold implements orders.Executors.
func (d deadlineExecutors) Hold(ctx context.Context, t orders.Target, o orders.Hold) (orders.Lists, orders.Reply) {
	sent := tick.Now()
	l, r := d.Executors.Hold(ctx, t, o)
	d.watch.note(&d.watch.holds, &d.watch.longestHold, sent, o.DeadlineMS, r)
	return l, r
}

// Start implements orders.Executors.
func (d deadlineExecutors) Start(ctx context.Context, t orders.Target, o orders.Start) orders.Reply {
	sent := tick.Now()
	r := d.Executors.Start(ctx, t, o)
	d.watch.note(&d.watch.starts, &d.watch.longestStart, sent, o.DeadlineMS, r)
	return r
}

// note notes the lease of an order while heartbeats fail. The reply has the present time of the executor's clock, which
// may run slower until the deadline.
func (w *leaseWatch) note(count *int, longest *time.Duration, sent tick.Time, deadlineMS int64, r orders.Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure == nil || deadlineMS == 0 || r.Outcome != orders.Done {
		return
	}
	*count++
	deadline := tick.Now().Add(time.Duration(deadlineMS-r.ClockMS)*time.Millisecond - clockUnit)
	lease := cell.Params{MaxHold: deadline.Sub(sent)}.LongestLease()
	*longest = max(*longest, sent.Add(lease).Sub(w.heartbeat))
}

// TestOrdersWithoutHeartbeatsExtendLeases guards against leases beyond what a new leader awaits after a heartbeat.
func TestOrdersWithoutHeartbeatsExtendLeases(t *testing.T) {
	for name, failure := range map[string]func(ctx context.Context) error{
		"refused": func(context.Context) error {
			return fault.New(fault.CodeUnavailable, fault.NotRun, "the log refuses heartbeats")
		},
		"unanswered": func(ctx context.Context) error {
			<-ctx.Done()
			return fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, w := newRig(t), &leaseWatch{}
				r.wrapLog = func(l logs.Log) logs.Log { return heartbeatLog{l, w} }
				r.calls.Executors = deadlineExecutors{r.fleet, w}
				r.startNodes(1)
				long := rigJob(0, &jobpb.Step{Count: executors, LongRunning: true, MaxPerExecutor: 1})
				long.Spec = memex.Behavior{LongRunning: true}.Spec()
				r.submit(long)
				time.Sleep(2 * time.Second)
				w.mu.Lock()
				w.failure = failure
				w.mu.Unlock()
				for id, began := 1, time.Now(); time.Since(began) < elect.LeaseDuration+time.Second; id++ {
					r.submit(rigJob(id, &jobpb.Step{}))
					time.Sleep(submitInterval)
				}
				w.mu.Lock()
				defer w.mu.Unlock()
				assert.Assert(t, w.holds > 0 && w.starts > 0, "%d holds and %d starts", w.holds, w.starts)
				longest := params.LongestLease()
				assert.Check(t, w.longestHold <= longest, "a hold lasts until %v after the last heartbeat", w.longestHold)
				assert.Check(t, w.longestStart <= longest, "a start lasts until %v after the last heartbeat", w.longestStart)
			})
		})
	}
}
