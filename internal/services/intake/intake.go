// Package intake takes jobs, cancels and questions from callers on any instance.
//
// A job is accepted by a record in the log that any instance appends; a repeat is harmless. An instance that the store
// turns away lets the lead append for it. Questions go to the lead; without it, the replica answers what it knows.
//
// # Usage
//
//	i := intake.New(options)
//	err := i.Accept(ctx, job)
//	state, known, err := i.State(ctx, id)
package intake

import (
	"context"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/services/gather"
	"github.com/ibischute/ibischute/internal/services/lead"
	"github.com/ibischute/ibischute/internal/services/replic"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/circ"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// forwardTimeout leaves the lead time for its own attempt.
	forwardTimeout = 900 * time.Millisecond
	peerTimeout    = 500 * time.Millisecond
	// probeInterval is how often a dependency that gave no answer is tried again.
	probeInterval = 250 * time.Millisecond
	// retryAfter is when a caller may come back whose request the store did not take.
	retryAfter = time.Second
	// freshMargin is kept of the time after which an accepted job must be known everywhere.
	freshMargin = 500 * time.Millisecond
)

// Options configure an Intake.
type Options struct {
	Gather  *gather.Gather
	Part    logs.Part
	Self    string
	Elector *elect.Elector
	Lead    *lead.Lead
	Replica *replic.Replica
	// StoreAnsweredAt returns when the store last answered any call of this instance.
	StoreAnsweredAt func() tick.Time
	Client          *http.Client
	// Visible is how soon an accepted job must be known everywhere.
	Visible time.Duration
	Logger  zerolog.Logger
}

// Intake serves callers on one instance.
type Intake struct {
	opts Options
	// toStore and toLead are the circuits of the dependencies.
	toStore, toLead *circ.Circuit
}

// New returns an Intake.
func New(o Options) *Intake {
	return &Intake{opts: o, toStore: circ.New(probeInterval), toLead: circ.New(probeInterval)}
}

// Accept records a job. A failure that says that it has not run means that the job never will.
func (i *Intake) Accept(ctx context.Context, j *jobpb.Job) error {
	if _, isKnown := i.opts.Replica.Job(j.Id); isKnown {
		// A repeat of a submission that was stored.
		return nil
	}
	v, err := proto.Marshal(&jobpb.Intake{Job: j})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode job")
	}
	return i.record(ctx, logs.Record{Key: book.JobKey(j.Id), Value: v})
}

// Cancel records that a job is to be stopped, whether or not the job is known here.
func (i *Intake) Cancel(ctx context.Context, id string) error {
	v, err := proto.Marshal(&jobpb.Intake{Cancel: true})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode cancel")
	}
	return i.record(ctx, logs.Record{Key: book.CancelKey(id), Value: v})
}

// record has a record stored and takes it into the replica.
func (i *Intake) record(ctx context.Context, rec logs.Record) error {
	if err := i.store(ctx, rec); err != nil {
		return err
	}
	i.opts.Replica.Add(rec)
	return nil
}

// store has a record stored, by this instance or by the lead. What no call was made for has not run and is refused at
// once.
func (i *Intake) store(ctx context.Context, rec logs.Record) error {
	err := i.append(ctx, rec)
	if err == nil {
		return nil
	}
	ran := ranOf(err)
	if ctx.Err() != nil {
		return refusal(err, ran)
	}
	if err = i.forward(ctx, rec); err == nil {
		return nil
	}
	ran = worse(ran, err)
	i.opts.Logger.Warn().Err(err).Str("key", rec.Key).Str("ran", string(ran)).Msg("intake-unstored")
	return refusal(err, ran)
}

func refusal(err error, ran fault.Ran) error {
	code := fault.CodeUnavailable
	if ran != fault.NotRun {
		code = fault.CodeUnknownOutcome
	}
	return fault.Wrap(err, code, ran, "the record was not stored").WithRetry(retryAfter)
}

func ranOf(err error) fault.Ran { return worse(fault.NotRun, err) }

// worse returns what is known of a record after a further failure.
func worse(ran fault.Ran, err error) fault.Ran {
	if fault.IsErrNotRun(err) {
		return ran
	}
	return fault.Unknown
}

// append has this instance append, unless the store has just left another append and every other call unanswered.
func (i *Intake) append(ctx context.Context, rec logs.Record) error {
	begun := tick.Now()
	i.toStore.Answered(i.opts.StoreAnsweredAt())
	if !i.toStore.Allows(begun) {
		return fault.New(fault.CodeUnavailable, fault.NotRun, "the store does not answer")
	}
	err := i.opts.Gather.Append(ctx, rec)
	if err != nil && !fault.IsErrNotRun(err) && i.opts.StoreAnsweredAt().Before(begun) {
		i.toStore.Failed(tick.Now())
	}
	return err
}

// forward lets the lead append a record.
func (i *Intake) forward(ctx context.Context, rec logs.Record) error {
	peer, ok := i.peer()
	if !ok {
		return fault.New(fault.CodeNoOwner, fault.NotRun, "no other instance to append")
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	_, err := peer.Record(ctx, &jobpb.RecordRequest{Cell: uint32(i.opts.Part), Key: rec.Key, Intake: rec.Value})
	if err = i.asked(err); err != nil {
		return err
	}
	i.opts.Logger.Info().Str("key", rec.Key).Msg("intake-forwarded")
	return nil
}

// peer returns a client of the lead, if that is another instance and answers.
func (i *Intake) peer() (jobpb.Jobs, bool) {
	address, ok := i.opts.Elector.Lead()
	if !ok || address == i.opts.Self || !i.toLead.Allows(tick.Now()) {
		return nil, false
	}
	return jobpb.NewJobsProtobufClient("http://"+address, i.opts.Client), true
}

// asked notes whether the lead answered, and translates its failure.
func (i *Intake) asked(err error) error {
	if err == nil {
		i.toLead.Answered(tick.Now())
		return nil
	}
	fe := peerFailure(err)
	if fe.Code == fault.CodeNoOwner || fe.Code == fault.CodeUnavailable {
		i.toLead.Answered(tick.Now())
	} else {
		i.toLead.Failed(tick.Now())
	}
	return fe.WithRetry(retryAfter)
}

// State returns the state of a job and whether it is known.
func (i *Intake) State(ctx context.Context, id string) (jobpb.State, bool, error) {
	now := tick.Now()
	recorded, isRecorded := i.opts.Replica.Job(id)
	if isRecorded && book.IsFinal(recorded) {
		return recorded, true, nil
	}
	state, known, err := i.ask(ctx, now, id)
	switch {
	case err == nil && known:
		return state, true, nil
	case isRecorded:
		return recorded, true, nil
	case err == nil || i.IsFresh(now):
		return jobpb.State_STATE_UNKNOWN, false, nil
	}
	return jobpb.State_STATE_UNKNOWN, false, err
}

// ask asks the lead.
func (i *Intake) ask(ctx context.Context, now tick.Time, id string) (jobpb.State, bool, error) {
	state, known, err := i.Show(now, id)
	if err == nil {
		return state, known, nil
	}
	peer, ok := i.peer()
	if !ok {
		return jobpb.State_STATE_UNKNOWN, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	res, err := peer.Show(ctx, &jobpb.ShowRequest{Job: id})
	if err = i.asked(err); err != nil {
		return jobpb.State_STATE_UNKNOWN, false, err
	}
	return res.State, res.Known, nil
}

// Show answers as the lead. It fails on any other instance, and where it may not know of every accepted job.
func (i *Intake) Show(now tick.Time, id string) (jobpb.State, bool, error) {
	state, known, err := i.opts.Lead.Show(now, id)
	if err == nil && !known && !i.IsFresh(now) {
		err = fault.New(fault.CodeUnavailable, fault.NotRun, "the intake has not been read for long").WithRetry(retryAfter)
	}
	return state, known, err
}

// IsFresh reports whether the replica has every job that must be visible.
func (i *Intake) IsFresh(now tick.Time) bool {
	return now.Sub(i.opts.Replica.FreshAt()) < i.opts.Visible-freshMargin
}

// Waiting counts the jobs of a queue that have not begun.
func (i *Intake) Waiting(ctx context.Context, q queue.Name) (int, error) {
	n, err := i.opts.Lead.Waiting(tick.Now(), q)
	if err == nil {
		return n, nil
	}
	if peer, ok := i.peer(); ok {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		res, err := peer.CountWaiting(ctx, &jobpb.CountWaitingRequest{Queue: string(q)})
		if err = i.asked(err); err == nil {
			return int(res.Waiting), nil
		}
		i.opts.Logger.Warn().Err(err).Str("queue", string(q)).Msg("lead-unreachable")
	}
	return i.opts.Replica.Waiting(string(q)), nil
}
