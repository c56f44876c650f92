package leader

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// minAppendTimeout is the shortest timeout of an append of records, so that one that is lost with its connection is
	// repeated soon. Placed runs wait for it.
	minAppendTimeout = 200 * time.Millisecond
	// commitPause is the pause after a commit, so that many changes share one record. It ends early if placed runs wait
	// for their record. The next plan then collects what has become startable, so it lasts minCommitPause at least.
	commitPause    = 20 * time.Millisecond
	minCommitPause = 4 * time.Millisecond
	// storeStallTimeout is how long the store may take for records until only tasks start that need none. A store that is
	// slow takes several hundred milliseconds for each batch, and starts must go on then.
	storeStallTimeout = 800 * time.Millisecond
	// commitFailurePause is the pause after a term that a failed commit has ended. It limits the rate of terms, and the
	// replica completes its last waiting read within it.
	commitFailurePause = 1100 * time.Millisecond
	// producer is the producer name of the leaders of a cell in the log, which fences them by their epochs.
	producer = "lead"
)

// commitLoop stores the changes of the cell, one batch at a time. An error ends the term, because a leader that stores
// nothing can neither start jobs nor acknowledge ends.
func (t *term) commitLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.commitWake:
		}
		if err := t.commit(ctx); err != nil {
			if !isFencedError(err) && ctx.Err() == nil {
				t.opts.Logger.Error().Err(err).Uint64("epoch", t.epoch).Msg("commit-failed")
			}
			t.fail(err)
			return
		}
		tick.Pause(ctx, minCommitPause)
		wake.Wait(ctx, t.placementWake, commitPause-minCommitPause)
	}
}

func (t *term) commit(ctx context.Context) error {
	t.mu.Lock()
	var batch *cell.Batch
	var err error
	var reduced, removed []string
	if t.cell.HasChanges() {
		batch, err = t.cell.NextBatch()
	}
	if err == nil && batch != nil {
		reduced, removed = t.cell.Fit(batch, t.opts.MaxRecordBytes)
	}
	t.mu.Unlock()
	if len(reduced)+len(removed) > 0 {
		t.opts.Logger.Warn().Strs("reduced", reduced).Strs("removed", removed).Msg("too-large-records")
	}
	if batch == nil || err != nil {
		return err
	}
	if err := t.store(ctx, batch); err != nil {
		return err
	}
	t.mu.Lock()
	t.cell.Commit(tick.Now(), batch)
	senders := t.awaitingAck()
	t.mu.Unlock()
	for _, h := range senders {
		wake.Send(h.wakeup)
	}
	wake.Send(t.startWake)
	t.wakePlan()
	return nil
}

// awaitingAck returns the senders whose executors wait for an acknowledgement. The caller must hold the mutex.
func (t *term) awaitingAck() []*holdSender {
	var out []*holdSender
	for id, h := range t.holdSenders {
		if t.cell.IsAckDue(id) {
			out = append(out, h)
		}
	}
	return out
}

// store appends the records of a batch in order, with as few appends as the limit of the log permits.
func (t *term) store(ctx context.Context, b *cell.Batch) error {
	defer t.setStoringSince(0)
	for rest := b.Records; len(rest) > 0; {
		t.setStoringSince(tick.Now())
		n := countFitting(rest, t.opts.MaxAppendBytes)
		if err := t.storeRecords(ctx, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

func (t *term) setStoringSince(at tick.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storingSince = at
}

// framingBytes is the size of the length prefixes of a record and of its key.
const framingBytes = 5

// countFitting returns how many of the records fit one append, at least one.
func countFitting(records []logs.Record, maxBytes int) int {
	size := 0
	for i := range records {
		size += sizeOf(records[i : i+1])
		if i > 0 && size > maxBytes {
			return i
		}
	}
	return len(records)
}

// sizeOf returns the size of the records in an append.
func sizeOf(records []logs.Record) int {
	size := 0
	for _, r := range records {
		size += framingBytes + len(r.Key) + len(r.Value)
	}
	return size
}

// storeRecords retries an append until it succeeds or the log fences this leader.
func (t *term) storeRecords(ctx context.Context, records []logs.Record) error {
	for ctx.Err() == nil {
		sent := tick.Now()
		err := t.append(ctx, records)
		if err == nil {
			t.sequence++
			t.noteAppend(records, tick.Now().Sub(sent))
			return nil
		}
		if isFencedError(err) {
			return err
		}
		t.opts.Logger.Warn().Err(err).Int("records", len(records)).Msg("progress-append-failed")
		tick.Pause(ctx, retryDelay)
	}
	return ctx.Err()
}

func (t *term) noteAppend(records []logs.Record, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.appendTimes.add(sizeOf(records), took)
}

// append sends the records with the next sequence number until an attempt succeeds. The log recognizes repeats by that
// number, so an append whose response is overdue is repeated while it is pending: the response alone may be lost. It
// returns an error if the log rejects the append, or if an attempt fails while no other is pending.
func (t *term) append(ctx context.Context, records []logs.Record) error {
	a := newAttempts(ctx, func(ctx context.Context) error { return t.appendOnce(ctx, records) })
	defer a.end()
	a.send()
	delays := t.repeats.begin(t.appendTimeout.Timeout())
	overdue := time.NewTimer(delays.next())
	defer overdue.Stop()
	for {
		select {
		case r := <-a.results:
			a.pending--
			if r.err == nil {
				t.repeats.observe(r.took, a.sent)
				t.appendTimeout.Observe(r.took)
				return nil
			}
			if a.pending == 0 || isRejection(r.err) {
				return t.handleAppendError(r.err)
			}
		case <-overdue.C:
			if a.pending < maxPendingAttempts && ctx.Err() == nil {
				t.opts.Logger.Warn().Uint64("sequence", t.sequence).Int("pending", a.pending).Msg("progress-append-repeated")
				a.send()
			}
			overdue.Reset(delays.next())
		}
	}
}

// appendOnce makes one attempt of an append. The sequence number does not change while attempts are pending.
func (t *term) appendOnce(ctx context.Context, records []logs.Record) error {
	_, err := t.opts.Log.Append(ctx, logs.Progress, t.opts.Part, records, logs.Condition{
		Producer: producer, Epoch: t.epoch, Sequence: t.sequence,
	})
	return err
}

// handleAppendError corrects a sequence number that is too low.
func (t *term) handleAppendError(err error) error {
	var sequence *logs.SequenceError
	if errors.As(err, &sequence) && sequence.Expected > t.sequence {
		t.opts.Logger.Warn().Uint64("expected", sequence.Expected).Uint64("sequence", t.sequence).Msg("sequence-corrected")
		t.sequence = sequence.Expected
		return fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, "append rejected because its sequence number is too low")
	}
	return err
}

// isRejection reports whether each further attempt would get the same error.
func isRejection(err error) bool {
	var sequence *logs.SequenceError
	return isFencedError(err) || errors.As(err, &sequence)
}

func isFencedError(err error) bool {
	var f *logs.FencedError
	return errors.As(err, &f)
}
