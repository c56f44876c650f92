package leader_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/stand/memlog"
)

// checkSoonAcknowledged checks that a call to the first of some instances is acknowledged soon, while all lose the
// responses to their appends.
func checkSoonAcknowledged(t *testing.T, s *system, call func(ctx context.Context) error) {
	t.Helper()
	const maxWait = 500 * time.Millisecond
	s.setFaults(memlog.Faults{LoseAnswers: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
	defer cancel()
	began := time.Now()
	err := call(ctx)
	took := time.Since(began)
	assert.Assert(t, err == nil && took <= maxWait, "answered after %v with %v", took, err)
}

// TestRecordsWithoutAnswersAreAcknowledged guards against callers that wait for the response to an append although the
// instance or the leader has read their record in the log. Cancellations were not recognized there at all.
func TestRecordsWithoutAnswersAreAcknowledged(t *testing.T) {
	for _, on := range []string{"leader", "other"} {
		for _, what := range []string{"accept", "cancel"} {
			t.Run(what+" on "+on, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, n := newSystemWithLeader(t)
					if on == "other" {
						n = s.others(n)[0]
					}
					s.accept(n, 1)
					time.Sleep(time.Second)
					checkSoonAcknowledged(t, s, func(ctx context.Context) error {
						if what == "accept" {
							return n.intake.Accept(ctx, s.job(2))
						}
						return n.intake.Cancel(ctx, s.job(1).Id)
					})
				})
			})
		}
	}
}

// TestRecordsBehindLostAnswersAreAcknowledged guards against records that wait behind a group whose append has taken
// effect without a response.
func TestRecordsBehindLostAnswersAreAcknowledged(t *testing.T) {
	const jobs, loss, maxWait = 200, 0.6, time.Second
	for _, on := range []string{"leader", "other"} {
		t.Run(on, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, n := newSystemWithLeader(t)
				if on == "other" {
					n = s.others(n)[0]
				}
				s.setFaults(memlog.Faults{LoseAnswers: loss})
				results := make(chan time.Duration, jobs)
				for id := range jobs {
					go func() {
						began := time.Now()
						assert.Check(t, s.submit(n, id) == nil)
						results <- time.Since(began)
					}()
					time.Sleep(slowInterval)
				}
				var longest time.Duration
				for range jobs {
					longest = max(longest, <-results)
				}
				t.Logf("longest %v", longest)
				assert.Assert(t, longest <= maxWait, "acknowledged after %v", longest)
			})
		})
	}
}

// TestForwardedRecordWithoutAnswerIsAcknowledged guards against a leader that waits for the response to the append of a
// forwarded record, which it has read in the log. The instance that forwards it is cut off from the store.
func TestForwardedRecordWithoutAnswerIsAcknowledged(t *testing.T) {
	const maxWait = 500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		n := s.others(first)[0]
		n.view.SetFaults(memlog.Faults{Broken: true})
		time.Sleep(time.Second)
		first.view.SetFaults(memlog.Faults{LoseAnswers: 1})
		began := time.Now()
		err := s.submit(n, 1)
		took := time.Since(began)
		assert.Assert(t, err == nil && took <= maxWait, "answered after %v with %v", took, err)
	})
}

// TestRepeatedCancellationIsAcknowledged guards against a caller that repeats a cancellation and waits for an append,
// although the cancellation is recorded.
func TestRepeatedCancellationIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.accept(first, 1)
		assert.NilError(t, first.intake.Cancel(t.Context(), s.job(1).Id))
		time.Sleep(time.Second)
		s.setFaults(memlog.Faults{Unresponsive: true})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		assert.NilError(t, s.others(first)[0].intake.Cancel(ctx, s.job(1).Id))
		took := time.Since(began)
		assert.Assert(t, took <= 100*time.Millisecond, "acknowledged after %v", took)
	})
}

// TestUnknownCancellationIsNotAcknowledged guards against an acknowledgement of a cancellation that is not stored.
func TestUnknownCancellationIsNotAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.accept(first, 1)
		time.Sleep(time.Second)
		s.setFaults(memlog.Faults{Unresponsive: true})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		assert.Assert(t, s.others(first)[0].intake.Cancel(ctx, s.job(1).Id) != nil)
	})
}
