package sched

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// lateExecutor confirms every abort, as one that has not seen the request yet, and ends the exchange when told to.
type lateExecutor struct{ end chan struct{} }

func (x *lateExecutor) Send(ctx context.Context, _ string, _ execio.Request) (*execio.Answer, error) {
	select {
	case <-x.end:
	case <-ctx.Done():
	}
	return nil, fault.New(fault.CodeBackend, fault.Unknown, "aborted")
}

func (x *lateExecutor) Abort(context.Context, string, ident.Request) error { return nil }

func (x *lateExecutor) Load(context.Context, string) (execio.Load, error) {
	return execio.Load{Slots: 1}, nil
}

type always struct{}

func (always) MayAct(tick.Time, ident.Key) bool { return true }
func (always) HasLease(tick.Time) bool          { return true }
func (always) Held(ident.Key) int               { return 0 }

// TestAbortThatOvertakesTheRequestFreesNoSlot is the case of an abort that reaches the executor before the request: the
// executor knows nothing of it and confirms, and then the request starts.
func TestAbortThatOvertakesTheRequestFreesNoSlot(t *testing.T) {
	x := &lateExecutor{end: make(chan struct{})}
	s := New(Options{
		Domain: "d", Own: always{}, Exec: x, Logger: zerolog.Nop(), Now: tick.Now,
		Roster: func() roster.List {
			return roster.List{Entries: []roster.Entry{
				{Kind: roster.KindExecutor, Name: "e", Domain: "d", Service: "s", Slots: 1, Address: "a"},
			}}
		},
	})
	s.Sync(1)
	s.askLoad(context.Background(), s.Executors()[0])
	ctx, leave := context.WithCancel(context.Background())
	go func() {
		time.Sleep(5 * time.Millisecond)
		leave()
	}()
	_, err := s.Do(ctx, Request{Service: "s", Deadline: tick.Now().Add(time.Hour), MaxQueue: 1})
	assert.Assert(t, fault.IsErrCode(err, fault.CodeCancelled))
	time.Sleep(30 * time.Millisecond)
	assert.Equal(t, s.InFlight(), 1, "the exchange with the executor has not ended")
	assert.Equal(t, s.Executors()[0].Draining, 1)
	close(x.end)
	for s.InFlight() > 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, s.Executors()[0].InUse(), 0)
}
