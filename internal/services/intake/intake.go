// Package intake handles job submissions, cancellations and status queries of callers on any instance.
//
// A job is accepted once a record of it is in the log. Any instance may append that record, and appending it again is
// harmless. An instance whose appends the store rejects forwards the record to the leader. While the store responds to
// no call, a submission is refused at once; one whose append got no response is repeated until the store responds or
// the caller's deadline has come. Queries go to the leader; if it is not reachable, they are answered from the local
// replica.
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
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/services/group"
	"github.com/ibischute/ibischute/internal/services/leader"
	"github.com/ibischute/ibischute/internal/services/replic"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/internal/state/circ"
	"github.com/ibischute/ibischute/internal/state/doubt"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	queryTimeout = 500 * time.Millisecond
	// probeInterval is the pause between the calls that probe the leader. The leader serves them without calls of its
	// own, so that silence for minLeaderSilence, less than queryTimeout, shows that it is not reachable.
	probeInterval    = 250 * time.Millisecond
	minLeaderSilence = 400 * time.Millisecond
	// maxLeaderResponseAge covers a probe that takes as long as it may and the pause before it.
	maxLeaderResponseAge = probeInterval + queryTimeout
	// queryRetryAfter is the delay after which a caller may repeat a failed query.
	queryRetryAfter = time.Second
	// freshnessMargin is subtracted from Options.VisibleWithin to get the age up to which the replica counts as fresh.
	freshnessMargin = 500 * time.Millisecond
)

// Options configure an Intake.
type Options struct {
	Committer   *group.Committer
	Part        logs.Part
	SelfAddress string
	Elector     *elect.Elector
	Leader      *leader.Leader
	Replica     *replic.Replica
	// StoreCircuit is the circuit breaker of the store, which all calls of this instance to the store keep up to date.
	StoreCircuit *circ.Circuit
	// ConfirmStore returns an error marked as not run unless the store has responded lately or responds now.
	ConfirmStore func(ctx context.Context) error
	Client       *http.Client
	// VisibleWithin is the time within which an accepted job must be known to every instance.
	VisibleWithin time.Duration
	// MaxRecordBytes is the store's limit for a record; 0 if unknown.
	MaxRecordBytes int
	Meter          *meter.Meter
	Logger         zerolog.Logger
}

// Intake serves callers on one instance.
type Intake struct {
	opts          Options
	leaderCircuit *circ.Circuit
	// repeating is the number of records whose appending is being repeated.
	repeating atomic.Int64
	// inDoubt has the keys of the records whose append from this instance had an unknown outcome.
	inDoubt *doubt.Set
}

// New returns an Intake. Serve must run for it to use a leader again that did not respond.
func New(o Options) *Intake {
	return &Intake{
		opts: o, leaderCircuit: circ.New(minLeaderSilence), inDoubt: doubt.New(maxInDoubt, doubtLifetime),
	}
}

// String names the service in logs.
func (i *Intake) String() string { return "intake" }

// Serve calls the leader while the leader or the store does not respond, so that no request of a caller is the probe.
func (i *Intake) Serve(ctx context.Context) error {
	for {
		tick.Pause(ctx, probeInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if i.leaderCircuit.IsOpen() || i.opts.StoreCircuit.DownFor(tick.Now()) > 0 {
			i.probeLeader(ctx)
		}
		i.setGauges(tick.Now())
	}
}

// probeLeader calls the leader, whose response closes the circuit. If this instance leads or no leader is known, there
// is no leader to call, and the circuit is closed for the next one.
func (i *Intake) probeLeader(ctx context.Context) {
	address, ok := i.leaderAddress()
	if !ok {
		i.leaderCircuit.RecordResponse(tick.Now(), tick.Now())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	started := tick.Now()
	_, err := i.clientFor(address).Show(ctx, &jobpb.ShowRequest{})
	_ = i.recordLeaderResult(ctx, started, err)
}

// Accept records a job. An error marked as not run means that the job will never run.
func (i *Intake) Accept(ctx context.Context, j *jobpb.Job) error {
	if i.opts.Replica.HasSubmission(book.JobKey(j.Id)) {
		// The submission is a repeat of one that was stored.
		return nil
	}
	v, err := proto.Marshal(&jobpb.Intake{Job: j})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode job")
	}
	return i.storeAndApply(ctx, logs.Record{Key: book.JobKey(j.Id), Value: v})
}

// Cancel records the cancellation of a job, whether or not the job is known to this instance.
func (i *Intake) Cancel(ctx context.Context, id string) error {
	if i.opts.Replica.HasSubmission(book.CancelKey(id)) {
		return nil
	}
	v, err := proto.Marshal(&jobpb.Intake{Cancel: true})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode cancel")
	}
	return i.storeAndApply(ctx, logs.Record{Key: book.CancelKey(id), Value: v})
}

// leaderClient returns a client for the leader. It returns false if no leader is known, if this instance is the leader,
// or while the circuit is open.
func (i *Intake) leaderClient() (jobpb.Jobs, bool) {
	address, ok := i.leaderAddress()
	if !ok || i.leaderCircuit.IsOpen() {
		return nil, false
	}
	return i.clientFor(address), true
}

// leaderAddress returns the address of the leader if that is another instance.
func (i *Intake) leaderAddress() (string, bool) {
	address, ok := i.opts.Elector.LeaderAddress()
	return address, ok && address != i.opts.SelfAddress
}

func (i *Intake) clientFor(address string) jobpb.Jobs {
	return jobpb.NewJobsProtobufClient("http://"+address, i.opts.Client)
}

// recordLeaderResult updates the circuit after a call to the leader and translates the error of the call. A call that
// this instance or its caller gave up says nothing about the leader, nor does one that was too short.
func (i *Intake) recordLeaderResult(ctx context.Context, started tick.Time, err error) error {
	now := tick.Now()
	if err == nil {
		i.leaderCircuit.RecordResponse(started, now)
		return nil
	}
	fe := translateLeaderError(err)
	switch {
	case isResponse(err):
		i.leaderCircuit.RecordResponse(started, now)
	case errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() != nil:
		i.leaderCircuit.RecordSilence(started, now)
	default:
		i.leaderCircuit.RecordNoResponse(now)
	}
	return fe.WithRetry(queryRetryAfter)
}

// State returns the state of a job and whether the job is known.
func (i *Intake) State(ctx context.Context, id string) (jobpb.State, bool, error) {
	now := tick.Now()
	// The replica may become fresh while the leader is asked. A job that it lacked before is then not unknown.
	isFresh := i.IsFresh(now)
	recorded, isRecorded := i.opts.Replica.Job(id)
	if isRecorded && book.IsFinal(recorded) {
		return recorded, true, nil
	}
	state, known, err := i.askLeader(ctx, now, id)
	switch {
	case err == nil && known:
		return state, true, nil
	case isRecorded:
		return i.refreshedState(ctx, id, recorded), true, nil
	case err == nil || isFresh:
		return jobpb.State_STATE_UNKNOWN, false, nil
	}
	return jobpb.State_STATE_UNKNOWN, false, err
}

// refreshedState returns the recorded state of a job after an attempt to read newer progress. If that fails, it returns
// the known state.
func (i *Intake) refreshedState(ctx context.Context, id string, known jobpb.State) jobpb.State {
	if err := i.opts.Replica.RefreshProgress(ctx); err != nil {
		i.opts.Logger.Warn().Err(err).Str("job", id).Msg("progress-refresh-failed")
		return known
	}
	if state, ok := i.opts.Replica.Job(id); ok {
		return state
	}
	return known
}

// askLeader gets the state of a job from the leader, which may be this instance.
func (i *Intake) askLeader(ctx context.Context, now tick.Time, id string) (jobpb.State, bool, error) {
	state, known, err := i.Show(now, id)
	if err == nil {
		return state, known, nil
	}
	client, ok := i.leaderClient()
	if !ok {
		return jobpb.State_STATE_UNKNOWN, false, err
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	started := tick.Now()
	res, err := client.Show(ctx, &jobpb.ShowRequest{Job: id})
	if err = i.recordLeaderResult(ctx, started, err); err != nil {
		return jobpb.State_STATE_UNKNOWN, false, err
	}
	return res.State, res.Known, nil
}

// Show returns the state of a job if this instance is the leader. It fails on any other instance, and for an unknown
// job if the replica may lack an accepted job.
func (i *Intake) Show(now tick.Time, id string) (jobpb.State, bool, error) {
	// The replica may become fresh after the cell was asked.
	isFresh := i.IsFresh(now)
	state, known, err := i.opts.Leader.Show(now, id)
	if err == nil && !known && !isFresh {
		err = fault.New(fault.CodeUnavailable, fault.NotRun, "the intake has not been read for long").
			WithRetry(queryRetryAfter)
	}
	return state, known, err
}

// IsFresh reports whether the replica has every job that must be visible by now.
func (i *Intake) IsFresh(now tick.Time) bool {
	return now.Sub(i.opts.Replica.CompleteAsOf()) < i.opts.VisibleWithin-freshnessMargin
}

// Waiting returns the number of jobs in a queue that have not started.
func (i *Intake) Waiting(ctx context.Context, q queue.Name) (int, error) {
	n, err := i.opts.Leader.Waiting(tick.Now(), q)
	if err == nil {
		return n, nil
	}
	if client, ok := i.leaderClient(); ok {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		started := tick.Now()
		res, err := client.CountWaiting(ctx, &jobpb.CountWaitingRequest{Queue: string(q)})
		if err = i.recordLeaderResult(ctx, started, err); err == nil {
			return int(res.Waiting), nil
		}
		i.opts.Logger.Warn().Err(err).Str("queue", string(q)).Msg("leader-unreachable")
	}
	return i.opts.Replica.Waiting(string(q)), nil
}
