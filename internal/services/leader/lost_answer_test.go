package leader_test

import (
	"context"
	"math/rand/v2"
	"slices"
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

// loss is the share of the responses that are lost.
const loss = 0.6

// batchKey identifies an append of records, whose repeats have the same key.
type batchKey struct{ epoch, sequence uint64 }

// progressLog injects faults into the appends of progress records, and counts them.
type progressLog struct {
	*fastLog
	// mu guards the other fields.
	mu sync.Mutex
	// delay is how long an append takes. isSerial makes appends take effect one at a time, also those that were given up.
	delay    time.Duration
	isSerial bool
	// isSilent makes appends hang without effect. loss is the share of appends that take effect without a response.
	isSilent  bool
	loss      float64
	rng       *rand.Rand
	busyUntil tick.Time
	calls     map[batchKey]int
	// offsets are the first responses, which repeats receive again.
	offsets map[batchKey]logs.Offset
}

// beginAppend counts a call. It returns when the append takes effect and whether its caller gets the response.
func (l *progressLog) beginAppend(now tick.Time, key batchKey) (at tick.Time, isAnswered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[key]++
	isAnswered = l.rng.Float64() >= l.loss
	if !l.isSerial {
		return now.Add(l.delay), isAnswered
	}
	l.busyUntil = max(l.busyUntil, now).Add(l.delay)
	return l.busyUntil, isAnswered
}

// appendOnce makes an append, or returns the first response if it is a repeat. It takes no time.
func (l *progressLog) appendOnce(
	key batchKey, records []logs.Record, c logs.Condition,
) (offset logs.Offset, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first, isRepeat := l.offsets[key]; isRepeat {
		return first, nil
	}
	l.fastLog.edit(logs.Progress, func(p *fastPart) {
		offset = p.end()
		if err = p.check(c, len(records)); err == nil {
			p.add(records)
			l.offsets[key] = offset
		}
	})
	return offset, err
}

func (l *progressLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	if t != logs.Progress || len(records) == 0 {
		return l.fastLog.Append(ctx, t, p, records, c)
	}
	key := batchKey{c.Epoch, c.Sequence}
	at, isAnswered := l.beginAppend(tick.Now(), key)
	if l.hangs() {
		<-ctx.Done()
		return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer")
	}
	tick.Pause(ctx, at.Add(appendTime).Sub(tick.Now()))
	offset, err := l.appendOnce(key, records, c)
	if !isAnswered {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer in time")
	}
	return offset, err
}

func (l *progressLog) hangs() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isSilent
}

// edit changes the log's behaviour and restarts the count of calls.
func (l *progressLog) edit(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.calls = map[batchKey]int{}
}

// count returns the number of calls and of the batches that they were for.
func (l *progressLog) count() (calls, batches int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.calls {
		calls += n
	}
	return calls, len(l.calls)
}

// newProgressRig returns a rig with a leader and its access to the log.
func newProgressRig(t *testing.T) (*rig, *progressLog) {
	t.Helper()
	r := newRig(t)
	l := &progressLog{
		fastLog: r.log, rng: rand.New(rand.NewPCG(1, 2)), calls: map[batchKey]int{}, offsets: map[batchKey]logs.Offset{},
	}
	r.wrapLog = func(logs.Log) logs.Log { return l }
	r.startNodes(1)
	for id := range 20 {
		r.submit(rigJob(1000+id, &jobpb.Step{}))
		time.Sleep(200 * time.Millisecond)
	}
	return r, l
}

// startLatencies returns, in ascending order, how long jobs take to start that are submitted one after the other.
func startLatencies(r *rig, jobs int) []time.Duration {
	var list []time.Duration
	for id := range jobs {
		r.submit(rigJob(id, &jobpb.Step{}))
		list = append(list, r.awaitStart(jobID(id)))
		time.Sleep(700 * time.Millisecond)
	}
	slices.Sort(list)
	return list
}

// TestLostAnswersDelayStartsLittle guards against a commit loop that waits longer and longer for the responses to
// appends, although only the responses are lost and a repeat is answered at once.
func TestLostAnswersDelayStartsLittle(t *testing.T) {
	const jobs = 200
	synctest.Test(t, func(t *testing.T) {
		r, l := newProgressRig(t)
		l.edit(func() { l.loss = loss })
		took := startLatencies(r, jobs)
		median, p90 := took[jobs/2], took[jobs*9/10]
		calls, batches := l.count()
		t.Logf("median %v, p90 %v, longest %v; %d calls for %d batches", median, p90, took[jobs-1], calls, batches)
		assert.Assert(t, median <= 500*time.Millisecond, "median %v", median)
		assert.Assert(t, p90 <= 2*time.Second, "p90 %v", p90)
	})
}

// TestSlowStoreGetsFewRepeats guards against repeats of appends that make a slow store slower: they are bounded while
// it becomes slow, and there are none once the leader knows its latency or while it is fast.
func TestSlowStoreGetsFewRepeats(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    time.Duration
		isSerial bool
		// isLossy makes the store lose responses before it becomes slow.
		isLossy bool
		// repeats is the highest number of appends that are repeats.
		repeats int
	}{
		{name: "healthy", repeats: 0},
		{name: "0.2s", delay: 200 * time.Millisecond, repeats: 2},
		{name: "0.3s", delay: 300 * time.Millisecond, repeats: 2},
		{name: "0.6s", delay: 600 * time.Millisecond, repeats: 3},
		{name: "1s", delay: time.Second, repeats: 3},
		{name: "0.2s one at a time", delay: 200 * time.Millisecond, isSerial: true, repeats: 3},
		{name: "0.6s one at a time", delay: 600 * time.Millisecond, isSerial: true, repeats: 6},
		{name: "0.6s after losses", delay: 600 * time.Millisecond, isLossy: true, repeats: 6},
		{name: "0.2s one at a time after losses", delay: 200 * time.Millisecond, isSerial: true, isLossy: true, repeats: 6},
		{name: "0.6s one at a time after losses", delay: 600 * time.Millisecond, isSerial: true, isLossy: true, repeats: 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, l := newProgressRig(t)
				if c.isLossy {
					l.edit(func() { l.loss = loss })
					startLatencies(r, 10)
				}
				l.edit(func() { l.delay, l.isSerial, l.loss = c.delay, c.isSerial, 0 })
				for id := range 40 {
					r.submit(rigJob(100+id, &jobpb.Step{}))
					time.Sleep(500 * time.Millisecond)
				}
				calls, batches := l.count()
				t.Logf("%d calls for %d batches", calls, batches)
				assert.Assert(t, calls-batches <= c.repeats, "%d calls for %d batches", calls, batches)
			})
		})
	}
}

// TestSilentStoreGetsFewRepeats guards against a store that answers nothing and gets many calls for one batch.
func TestSilentStoreGetsFewRepeats(t *testing.T) {
	const silence, maxCalls = 10 * time.Second, 13
	synctest.Test(t, func(t *testing.T) {
		r, l := newProgressRig(t)
		l.edit(func() { l.isSilent = true })
		r.submit(rigJob(1, &jobpb.Step{}))
		time.Sleep(silence)
		calls, _ := l.count()
		t.Logf("%d calls", calls)
		assert.Assert(t, calls <= maxCalls, "%d calls", calls)
		l.edit(func() { l.isSilent = false })
		took := r.awaitStart(jobID(1))
		assert.Assert(t, took <= 1500*time.Millisecond, "started %v after the end of the silence", took)
	})
}

// TestFencedRepeatEndsTerm guards against a leader that waits for its first attempt after the log has rejected a repeat
// because another leader has begun.
func TestFencedRepeatEndsTerm(t *testing.T) {
	const maxWait = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		r, l := newProgressRig(t)
		l.edit(func() { l.isSilent = true })
		r.submit(rigJob(1, &jobpb.Step{}))
		time.Sleep(100 * time.Millisecond)
		l.fastLog.edit(logs.Progress, func(p *fastPart) { p.epoch += 100 })
		l.edit(func() { l.isSilent = false })
		began := time.Now()
		for err := error(nil); err == nil && time.Since(began) <= maxWait; {
			time.Sleep(5 * time.Millisecond)
			_, _, err = r.nodes[0].leader.Show(tick.Now(), jobID(1))
		}
		assert.Assert(t, time.Since(began) <= maxWait, "the term has not ended after %v", time.Since(began))
	})
}
