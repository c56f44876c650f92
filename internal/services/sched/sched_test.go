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

// delayedExecutor confirms every abort, like an executor that has not received the request yet, and ends the exchange
// when the test closes the channel.
type delayedExecutor struct{ end chan struct{} }

func (x *delayedExecutor) Send(ctx context.Context, _ string, _ execio.Request) (*execio.Answer, error) {
	select {
	case <-x.end:
	case <-ctx.Done():
	}
	return nil, fault.New(fault.CodeBackend, fault.Unknown, "aborted")
}

func (x *delayedExecutor) Abort(context.Context, string, ident.Request) error { return nil }

func (x *delayedExecutor) Load(context.Context, string) (execio.Load, error) {
	return execio.Load{Slots: 1}, nil
}

type alwaysOwner struct{}

func (alwaysOwner) MayAct(tick.Time, ident.Key) bool { return true }
func (alwaysOwner) HasLease(tick.Time) bool          { return true }
func (alwaysOwner) Held(ident.Key) int               { return 0 }

// TestAbortBeforeRequestKeepsSlot covers an abort that reaches the executor before the request: the executor does not
// know the request and confirms the abort, and then the request starts. The slot must stay in use until the exchange
// has ended.
func TestAbortBeforeRequestKeepsSlot(t *testing.T) {
	x := &delayedExecutor{end: make(chan struct{})}
	s := New(Options{
		Domain: "d", Ownership: alwaysOwner{}, Exec: x, Logger: zerolog.Nop(), Now: tick.Now,
		Roster: func() roster.List {
			return roster.List{Entries: []roster.Entry{
				{Kind: roster.KindExecutor, Name: "e", Domain: "d", Service: "s", Slots: 1, Address: "a"},
			}}
		},
	})
	s.Sync(1)
	s.pollLoad(context.Background(), s.Executors()[0])
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
