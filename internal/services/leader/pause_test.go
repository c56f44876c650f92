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
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

// pause stops a process for a while: its calls to the log and its orders go on only when it ends.
type pause struct {
	mu    sync.Mutex
	until time.Time
}

func (p *pause) begin(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(d)
}

func (p *pause) await() {
	p.mu.Lock()
	d := time.Until(p.until)
	p.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
}

// pausedLog is the access to the log of a process that is paused at times.
type pausedLog struct {
	logs.Log
	*pause
}

// Append implements logs.Log.
func (l pausedLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	l.await()
	return l.Log.Append(ctx, t, p, records, c)
}

// Read implements logs.Log.
func (l pausedLog) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	l.await()
	return l.Log.Read(ctx, t, p, from, wait)
}

// TestPausedLeaderStartsNothing pauses the leader for longer than its lease while it sends orders, right after the
// check of its lease. Another instance takes over meanwhile, with one executor that does not respond to it at first.
func TestPausedLeaderStartsNothing(t *testing.T) {
	const length = 8 * time.Second
	for _, silent := range []string{"", "x1"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			p := &pause{}
			r.wrapLog = func(l logs.Log) logs.Log { return pausedLog{l, p} }
			r.wrapLease = func(holdsLease func(tick.Time) bool) func(tick.Time) bool {
				return func(now tick.Time) bool {
					isHeld := holdsLease(now)
					p.await()
					return isHeld
				}
			}
			first := r.start("n0")
			time.Sleep(2 * time.Second)
			assert.Assert(t, first.elector.IsLeader(tick.Now()))
			r.wrapLog = func(l logs.Log) logs.Log { return l }
			r.wrapLease = func(f func(tick.Time) bool) func(tick.Time) bool { return f }
			next := r.start("n1")
			time.Sleep(time.Second)
			const jobs = 60
			for id := range jobs {
				if id == jobs/2 {
					p.begin(length)
					r.calls.edit(func() { r.calls.silent[silent] = true })
				}
				r.submit(rigJob(id, &jobpb.Step{Count: 2}))
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(4 * time.Second)
			assert.Assert(t, next.elector.IsLeader(tick.Now()))
			r.calls.edit(func() { r.calls.silent[silent] = false })
			time.Sleep(14 * time.Second)
			for id := range jobs {
				assert.Assert(t, r.calls.starts(jobID(id)) >= 2, "job %d", id)
			}
			assert.Equal(t, len(r.fleet.Violations()), 0, "%v", r.fleet.Violations())
		})
	}
}

// answerlessLog loses the answers to appends of records to the progress topic while isLossy is true.
type answerlessLog struct {
	logs.Log
	mu      sync.Mutex
	isLossy bool
	lost    int
}

func (l *answerlessLog) setLossy(isLossy bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLossy = isLossy
}

func (l *answerlessLog) lostAnswers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

// Append implements logs.Log.
func (l *answerlessLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	offset, err := l.Log.Append(ctx, t, p, records, c)
	l.mu.Lock()
	isLost := l.isLossy && t == logs.Progress && len(records) > 0
	if isLost {
		l.lost++
	}
	l.mu.Unlock()
	if isLost {
		<-ctx.Done()
		return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the answer was lost")
	}
	return offset, err
}

// TestNoStartBeforeAppendIsKnownToBeStored checks that a batch without an answer counts as not stored.
func TestNoStartBeforeAppendIsKnownToBeStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		log := &answerlessLog{Log: r.log}
		r.wrapLog = func(logs.Log) logs.Log { return log }
		r.startNodes(1)
		log.setLossy(true)
		r.submit(rigJob(1, &jobpb.Step{Count: 2}))
		time.Sleep(3 * time.Second)
		assert.Assert(t, log.lostAnswers() > 0)
		assert.Equal(t, r.calls.starts(jobID(1)), 0)
		log.setLossy(false)
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= maxDue, "the job starts after %v", took)
	})
}
