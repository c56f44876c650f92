package health_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/services/health"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/internal/state/circ"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// run calls f in virtual time with a log and the view through which it is reached.
func run(t *testing.T, f func(t *testing.T, v *memlog.View, l *health.Log)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) })()
		v := memlog.New(rand.New(rand.NewPCG(1, 1))).View()
		f(t, v, health.New(v, circ.New(health.MinSilence), zerolog.Nop()))
	})
}

// read reads for at most the timeout, waiting for records.
func read(t *testing.T, l *health.Log, wait, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, _ = l.Read(ctx, logs.Operator, 0, 0, wait)
}

func TestRefusalIsAResponse(t *testing.T) {
	run(t, func(t *testing.T, v *memlog.View, l *health.Log) {
		v.SetFaults(memlog.Faults{Broken: true})
		read(t, l, 0, time.Second)
		assert.Assert(t, l.Circuit().IsOpen())
		v.SetFaults(memlog.Faults{Down: true})
		read(t, l, 0, time.Second)
		assert.Assert(t, !l.Circuit().IsOpen())
		assert.Assert(t, l.Circuit().DownFor(tick.Now()) > 0, "a store that refuses calls is down")
		v.SetFaults(memlog.Faults{})
		read(t, l, 0, time.Second)
		assert.Equal(t, l.Circuit().DownFor(tick.Now()), time.Duration(0))
	})
}

// TestReadThatWaits guards against reads that wait for records and are taken for an outage, and against an outage that
// is noticed only at the end of the wait.
func TestReadThatWaits(t *testing.T) {
	run(t, func(t *testing.T, v *memlog.View, l *health.Log) {
		ended := make(chan struct{})
		go func() {
			read(t, l, time.Second, 3*time.Second)
			close(ended)
		}()
		time.Sleep(900 * time.Millisecond)
		assert.Assert(t, !l.Circuit().IsOpen())
		<-ended
		assert.Assert(t, !l.Circuit().IsOpen())
		go func() { read(t, l, time.Second, 3*time.Second) }()
		time.Sleep(300 * time.Millisecond)
		v.SetFaults(memlog.Faults{Broken: true})
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, l.Circuit().IsOpen(), "the waiting read broke")
	})
}

func TestTimeoutsOpenOnlyAfterSilence(t *testing.T) {
	run(t, func(t *testing.T, v *memlog.View, l *health.Log) {
		v.SetFaults(memlog.Faults{Unresponsive: true})
		read(t, l, 0, 100*time.Millisecond)
		assert.Assert(t, !l.Circuit().IsOpen(), "a call with a short deadline opened the circuit")
		read(t, l, time.Second, 1200*time.Millisecond)
		assert.Assert(t, !l.Circuit().IsOpen(), "a response that was due for 0.2 s only opened the circuit")
		read(t, l, time.Second, 1800*time.Millisecond)
		assert.Assert(t, l.Circuit().IsOpen())
	})
}

// TestCancelledCall guards against an instance that takes the calls that it gave up itself for an outage.
func TestCancelledCall(t *testing.T) {
	run(t, func(t *testing.T, v *memlog.View, l *health.Log) {
		v.SetFaults(memlog.Faults{Unresponsive: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(2*time.Second, cancel)
		_, _ = l.Append(ctx, logs.Intake, 0, []logs.Record{{Key: "j/1"}}, logs.Condition{})
		assert.Assert(t, !l.Circuit().IsOpen())
	})
}

// TestConfirm guards against appends that are sent to a log that has stopped responding a moment ago.
func TestConfirm(t *testing.T) {
	run(t, func(t *testing.T, v *memlog.View, l *health.Log) {
		assert.NilError(t, l.Confirm(t.Context()), "before the first read, there is nothing to confirm with")
		read(t, l, 0, time.Second)
		time.Sleep(time.Minute)
		assert.NilError(t, l.Confirm(t.Context()))
		v.SetFaults(memlog.Faults{Frozen: true})
		assert.NilError(t, l.Confirm(t.Context()), "the last response is recent")
		time.Sleep(time.Second)
		results := make(chan error, 2)
		for range cap(results) {
			go func() { results <- l.Confirm(t.Context()) }()
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		err := l.Confirm(ctx)
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		for range cap(results) {
			err := <-results
			assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		}
		assert.Assert(t, l.Circuit().IsOpen())
		v.SetFaults(memlog.Faults{Broken: true})
		err = l.Confirm(t.Context())
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		v.SetFaults(memlog.Faults{})
		assert.NilError(t, l.Confirm(t.Context()))
	})
}
