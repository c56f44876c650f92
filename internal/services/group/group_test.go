package group_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/services/group"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

type setup struct {
	log       *memlog.Log
	view      *memlog.View
	committer *group.Committer
}

// run calls f in virtual time while a Committer serves.
func run(t *testing.T, f func(t *testing.T, s setup)) {
	t.Helper()
	runWith(t, func(*group.Options) {}, f)
}

// runWith is like run with a Committer whose options are edited.
func runWith(t *testing.T, edit func(o *group.Options), f func(t *testing.T, s setup)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) })()
		s := setup{log: memlog.New(rand.New(rand.NewPCG(3, 4)))}
		s.view = s.log.View()
		o := group.Options{
			Log: s.view, Topic: logs.Intake, LastStoreResponseAt: s.view.LastResponseAt,
			ReportSilence: func(tick.Time) {},
			HasOtherPath:  func() bool { return false },
		}
		edit(&o)
		s.committer = group.New(o)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			_ = s.committer.Serve(ctx)
			close(ended)
		}()
		// Responses to other calls show that the store is reachable even if an append gets no response.
		reads := make(chan struct{})
		go func() {
			for ctx.Err() == nil {
				_, _ = s.view.Read(ctx, logs.Operator, 0, 0, 100*time.Millisecond)
			}
			close(reads)
		}()
		f(t, s)
		cancel()
		<-ended
		<-reads
	})
}

// submit appends a record with the deadline of a caller.
func (s setup) submit(t *testing.T, i int) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
	defer cancel()
	return s.committer.Append(ctx, logs.Record{Key: fmt.Sprintf("j/%d", i), Value: []byte("x")})
}

// TestSlowStoreGetsFewAppends guards against a collapse under load: many callers submitted 11 jobs a second each, while
// an append took 80 ms and the partition processed one at a time, so that one append per job exceeded its throughput.
// The test submits 40 jobs a second in all.
func TestSlowStoreGetsFewAppends(t *testing.T) {
	run(t, func(t *testing.T, s setup) {
		s.view.SetFaults(memlog.Faults{LatencyFactor: 80, AppendTime: 82 * time.Millisecond})
		const jobs = 120
		results := make(chan error, jobs)
		for i := range jobs {
			go func() { results <- s.submit(t, i) }()
			time.Sleep(25 * time.Millisecond)
		}
		failed := 0
		for range jobs {
			if err := <-results; err != nil {
				failed++
			}
		}
		assert.Equal(t, failed, 0)
		assert.Assert(t, s.log.Appends() < 20, "%d appends", s.log.Appends())
	})
}

func TestLostResponseIsRetried(t *testing.T) {
	run(t, func(t *testing.T, s setup) {
		s.view.SetFaults(memlog.Faults{LoseAnswers: 0.4})
		failed := 0
		for i := range 30 {
			started := time.Now()
			if err := s.submit(t, i); err != nil {
				assert.Assert(t, !fault.IsErrNotRun(err), "the outcome must be reported as unknown: %v", err)
				failed++
			}
			assert.Assert(t, time.Since(started) < 2700*time.Millisecond)
		}
		assert.Assert(t, failed <= 4, "%d of 30 failed", failed)
	})
}

// outcome is how the records of many callers ended: the median and the 90th percentile of the durations, in which
// failed ones count as well.
type outcome struct {
	median, p90 time.Duration
	failed      int
}

// submitMany submits records at equal intervals.
func (s setup) submitMany(t *testing.T, records int, interval time.Duration) outcome {
	t.Helper()
	type result struct {
		took time.Duration
		err  error
	}
	results := make(chan result, records)
	for i := range records {
		go func() {
			began := time.Now()
			err := s.submit(t, i)
			results <- result{time.Since(began), err}
		}()
		time.Sleep(interval)
	}
	var out outcome
	var took []time.Duration
	for range records {
		r := <-results
		took = append(took, r.took)
		if r.err != nil {
			out.failed++
		}
	}
	slices.Sort(took)
	out.median, out.p90 = took[records/2], took[records*9/10]
	return out
}

// alternatingLog loses the response to every other append, beginning with the first one.
type alternatingLog struct {
	logs.Log
	appends atomic.Int64
}

func (l *alternatingLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	isLost := l.appends.Add(1)%2 == 1
	offset, err := l.Log.Append(ctx, t, p, records, c)
	if isLost {
		<-ctx.Done()
		return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the answer was lost")
	}
	return offset, err
}

// TestLostResponsesDoNotDelayRetries guards against lost responses that count as a slow store: the latency of a
// repeated append was taken from its first attempt, so that each group was repeated later than the one before.
func TestLostResponsesDoNotDelayRetries(t *testing.T) {
	const records, maxWait = 20, 500 * time.Millisecond
	runWith(t, func(o *group.Options) { o.Log = &alternatingLog{Log: o.Log} }, func(t *testing.T, s setup) {
		for i := range records {
			began := time.Now()
			err := s.submit(t, i)
			took := time.Since(began)
			assert.Assert(t, err == nil && took <= maxWait, "record %d: %v after %v", i, err, took)
		}
	})
}

// unansweredLog loses the responses to all appends, and knows the keys that are stored.
type unansweredLog struct {
	logs.Log
	stored  sync.Map
	appends atomic.Int64
}

func (l *unansweredLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	l.appends.Add(1)
	if _, err := l.Log.Append(ctx, t, p, records, c); err != nil {
		return 0, err
	}
	for _, r := range records {
		l.stored.Store(r.Key, true)
	}
	<-ctx.Done()
	return 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the answer was lost")
}

func (l *unansweredLog) has(key string) bool {
	_, ok := l.stored.Load(key)
	return ok
}

// TestGroupEndsOnceItsRecordsAreRead guards against records that wait for a group whose append has taken effect without
// a response, and against its repeats.
func TestGroupEndsOnceItsRecordsAreRead(t *testing.T) {
	const records, maxWait = 10, 250 * time.Millisecond
	l := &unansweredLog{}
	edit := func(o *group.Options) {
		l.Log = o.Log
		o.Log, o.IsStored = l, l.has
	}
	runWith(t, edit, func(t *testing.T, s setup) {
		for i := range records {
			began := time.Now()
			err := s.submit(t, i)
			took := time.Since(began)
			assert.Assert(t, err == nil && took <= maxWait, "record %d: %v after %v", i, err, took)
		}
		assert.Equal(t, l.appends.Load(), int64(records))
	})
}

// TestGroupWaitsForEachOfItsRecords guards against an acknowledgement of a record that is not stored, because another
// one of its group is.
func TestGroupWaitsForEachOfItsRecords(t *testing.T) {
	edit := func(o *group.Options) { o.IsStored = func(key string) bool { return key == "j/0" } }
	runWith(t, edit, func(t *testing.T, s setup) {
		s.view.SetFaults(memlog.Faults{Unresponsive: true})
		results := make(chan error, 3)
		// The first group holds record 2 alone, the second one the others.
		for _, i := range []int{2, 0, 1} {
			go func() { results <- s.submit(t, i) }()
			synctest.Wait()
		}
		for range cap(results) {
			err := <-results
			assert.Assert(t, err != nil, "a record is acknowledged that is not stored")
		}
	})
}

// TestSlowStoreGetsFewRetries guards against repeated appends that make a slow store slower.
func TestSlowStoreGetsFewRetries(t *testing.T) {
	for _, c := range []struct {
		appendTime time.Duration
		maxAppends int
	}{
		{200 * time.Millisecond, 52},
		{400 * time.Millisecond, 28},
		{800 * time.Millisecond, 16},
		{1200 * time.Millisecond, 12},
	} {
		t.Run(c.appendTime.String(), func(t *testing.T) {
			run(t, func(t *testing.T, s setup) {
				s.view.SetFaults(memlog.Faults{AppendTime: c.appendTime})
				out := s.submitMany(t, 400, 25*time.Millisecond)
				t.Logf("%+v, %d appends", out, s.log.Appends())
				assert.Assert(t, s.log.Appends() <= c.maxAppends, "%d appends", s.log.Appends())
			})
		})
	}
}

func TestUnresponsiveStoreTimesOut(t *testing.T) {
	run(t, func(t *testing.T, s setup) {
		s.view.SetFaults(memlog.Faults{Unresponsive: true})
		time.Sleep(500 * time.Millisecond)
		started := time.Now()
		err := s.submit(t, 0)
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "%v", err)
		assert.Assert(t, time.Since(started) < time.Second, "took %v", time.Since(started))
	})
}

// TestWithdrawnRecordIsNeverStored guards against a caller that is told that its record will not be stored, although it
// still waits for its group, and against an unknown outcome of a record that was never sent.
func TestWithdrawnRecordIsNeverStored(t *testing.T) {
	run(t, func(t *testing.T, s setup) {
		s.view.SetFaults(memlog.Faults{AppendTime: 2 * time.Second})
		first := make(chan error, 1)
		go func() { first <- s.submit(t, 0) }()
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		err := s.committer.Append(ctx, logs.Record{Key: "j/1", Value: []byte("x")})
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		assert.NilError(t, <-first)
		time.Sleep(10 * time.Second)
		page, err := s.view.Read(t.Context(), logs.Intake, 0, 0, 0)
		assert.NilError(t, err)
		for _, r := range page.Records {
			assert.Equal(t, r.Key, "j/0")
		}
	})
}

// faultyLog finds fault with appends that have a record with the key "bad".
type faultyLog struct{ logs.Log }

func (l faultyLog) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	tick.Pause(ctx, 50*time.Millisecond)
	for _, r := range records {
		if r.Key == "bad" {
			return 0, fault.New(fault.CodeBadRequest, fault.NotRun, "bad record")
		}
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// TestMalformedRecordIsRefusedAlone guards against one record with which the store finds fault and that has the records
// of all other callers of its group refused.
func TestMalformedRecordIsRefusedAlone(t *testing.T) {
	run(t, func(t *testing.T, s setup) {
		c := group.New(group.Options{
			Log: faultyLog{s.view}, Topic: logs.Intake, LastStoreResponseAt: s.view.LastResponseAt,
			ReportSilence: func(tick.Time) {}, HasOtherPath: func() bool { return false },
		})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			_ = c.Serve(ctx)
			close(ended)
		}()
		results := map[string]chan error{}
		for _, key := range []string{"j/0", "j/1", "bad", "j/2"} {
			results[key] = make(chan error, 1)
			go func() { results[key] <- c.Append(ctx, logs.Record{Key: key, Value: []byte("x")}) }()
			synctest.Wait()
		}
		for key, result := range results {
			err := <-result
			assert.Equal(t, fault.IsErrCode(err, fault.CodeBadRequest), key == "bad", "%s: %v", key, err)
			assert.Equal(t, err == nil, key != "bad", "%s: %v", key, err)
		}
		cancel()
		<-ended
	})
}

func TestRejectedAppendIsNotRun(t *testing.T) {
	run(t, func(t *testing.T, s setup) {
		s.view.SetFaults(memlog.Faults{Down: true})
		started := time.Now()
		err := s.submit(t, 0)
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		assert.Assert(t, fault.From(err).RetryAfter > 0)
		assert.Assert(t, time.Since(started) < 50*time.Millisecond)
	})
}
