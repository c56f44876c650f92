// Package placer accepts batch jobs and places their tasks on the workers of the failure domain.
//
// Every instance of the domain follows the job stream; the owner of the placer key acts. Before a new placer starts any
// task, it reads the workers' own task lists or waits until their leases have expired.
//
// # Usage
//
//	p := placer.New(options)
//	supervisor.Add(p.Tail()); supervisor.Add(p.Committer()); supervisor.Add(p.Loop())
//	status, err := p.Submit(ctx, spec)
package placer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/commit"
	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/rendez"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/modules/workio"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/state/jobs"
	"github.com/ibischute/ibischute/internal/state/snaps"
	"github.com/ibischute/ibischute/internal/state/tasks"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	tailWait = 10 * time.Second
	// readTimeout exceeds tailWait, so that a read that waits for records can still return.
	readTimeout   = 13 * time.Second
	retryInterval = 300 * time.Millisecond
	// ownRecordTimeout bounds the wait until a record appended by this instance is read back from the log.
	ownRecordTimeout   = 3 * time.Second
	ownRecordInterval  = 10 * time.Millisecond
	maxConcurrentCalls = 128
	maxTasksPerJob     = 10_000
	maxRunTime         = 7 * 24 * time.Hour
	maxListedJobs      = 1000
)

// Membership provides the view, ownership and peers of this instance's failure domain.
type Membership interface {
	MayAct(now tick.Time, key ident.Key) bool
	View() view.View
	Peers(now tick.Time) []member.Peer
}

// Options holds the settings and dependencies of a Placer.
type Options struct {
	Domain  ident.Domain
	Domains []ident.Domain
	Member  Membership
	Log     logio.Log
	Workers workio.Client
	Roster  func() roster.List
	Config  func() *bundle.Bundle
	// LongestLease returns the longest worker lease of all known configuration versions.
	LongestLease func() time.Duration
	Dial         func(address string) wire.Peer
	Logger       zerolog.Logger
	Now          func() tick.Time
	// SnapshotRecords and SnapshotInterval limit how much of the stream follows its newest snapshot.
	SnapshotRecords  int
	SnapshotInterval time.Duration
}

// Placer accepts the batch jobs of its domain and, while it owns the placer key, places their tasks.
type Placer struct {
	opts      Options
	homes     rendez.Set[ident.Domain]
	committer *commit.Group
	calls     *suprv.Group

	mu   sync.Mutex
	fold *jobs.Fold
	next ident.Offset
	// caughtUpAt is the start of the last read that reached the end of the job stream.
	caughtUpAt tick.Time
	// board tracks the tasks and workers of the domain; it is nil while this instance may not place tasks.
	board      *tasks.Board
	ownerSince tick.Time
	lastSyncAt map[ident.Worker]tick.Time
	syncing    map[ident.Worker]bool
	// jobOrder holds the position of each job in the order of acceptance.
	jobOrder map[ident.Job]uint64
	// recorded marks the tasks whose end was appended to the job stream or is being appended.
	recorded map[tasks.Key]bool
	// changedJobs are the jobs that changed since they were last applied to the board.
	changedJobs      map[ident.Job]bool
	snapshotSchedule *snaps.Schedule
}

// New returns a Placer without any jobs.
func New(o Options) *Placer {
	return &Placer{
		opts: o, homes: rendez.New(o.Domains), committer: commit.New(o.Log, ident.JobStream(o.Domain)),
		calls: suprv.NewGroup(maxConcurrentCalls), fold: jobs.New(), lastSyncAt: map[ident.Worker]tick.Time{},
		syncing: map[ident.Worker]bool{}, jobOrder: map[ident.Job]uint64{}, recorded: map[tasks.Key]bool{},
		changedJobs: map[ident.Job]bool{}, snapshotSchedule: snaps.New(o.SnapshotRecords, o.SnapshotInterval, o.Now()),
	}
}

// Committer returns the service that writes the job stream.
func (p *Placer) Committer() suprv.Service { return p.committer }

// Tail returns the service that follows the job stream.
func (p *Placer) Tail() suprv.Service {
	return suprv.Repeat("job-tail", retryInterval, func(ctx context.Context) error { return p.readOnce(ctx, tailWait) })
}

// readOnce folds the records since the last read. It waits for the first one up to the given duration.
func (p *Placer) readOnce(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	p.mu.Lock()
	from := p.next
	p.mu.Unlock()
	started := p.opts.Now()
	b, err := p.opts.Log.Read(ctx, ident.JobStream(p.opts.Domain), from, wait)
	if fault.IsErrCode(err, fault.CodeTrimmed) {
		return p.adoptSnapshot(ctx, b.Earliest)
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range b.Records {
		p.apply(r)
	}
	if p.next >= b.Next {
		p.caughtUpAt = started
	}
	p.snapshotIfDue(ctx)
	return nil
}

// apply folds a record unless it was already folded. The caller must hold p.mu.
func (p *Placer) apply(r logio.Record) {
	if r.Offset < p.next {
		return
	}
	p.next = r.Offset + 1
	p.snapshotSchedule.Count()
	var rec wire.JobRecord
	err := proto.Unmarshal(r.Data, &rec)
	if err == nil {
		err = p.fold.Apply(&rec)
	}
	if err != nil {
		p.opts.Logger.Warn().Err(err).Uint64("offset", uint64(r.Offset)).Msg("job-record-not-applied")
		return
	}
	if rec.GetSnapshot() != nil {
		p.snapshotSchedule.Reset(p.opts.Now())
		return
	}
	p.changedJobs[jobOf(&rec)] = true
	if a := rec.GetAccept(); a != nil {
		if _, known := p.jobOrder[ident.Job(a.GetId())]; !known {
			p.jobOrder[ident.Job(a.GetId())] = uint64(r.Offset)
		}
	}
}

// jobOf returns the job that a record concerns.
func jobOf(rec *wire.JobRecord) ident.Job {
	switch k := rec.GetKind().(type) {
	case *wire.JobRecord_Accept:
		return ident.Job(k.Accept.GetId())
	case *wire.JobRecord_Done:
		return ident.Job(k.Done.GetJob())
	case *wire.JobRecord_Cancel:
		return ident.Job(k.Cancel.GetId())
	case *wire.JobRecord_GiveUp:
		return ident.Job(k.GiveUp.GetJob())
	case *wire.JobRecord_Checkpoint:
		return ident.Job(k.Checkpoint.GetJob())
	}
	return ""
}

// Submit accepts a job in its home domain. A job is accepted once its record is in the log; submitting the same job
// again returns its status.
func (p *Placer) Submit(ctx context.Context, spec *wire.JobSpec) (*wire.JobStatus, error) {
	if err := p.validate(spec); err != nil {
		return nil, err
	}
	id := ident.Job(spec.GetId())
	if home := p.homeOf(id); home != p.opts.Domain {
		return p.callHome(home, func(peer wire.Peer) (*wire.JobStatus, error) {
			return peer.SubmitJob(ctx, &wire.SubmitJobRequest{Spec: spec})
		})
	}
	if known, err := p.acceptedStatus(spec); known != nil || err != nil {
		return known, err
	}
	rec := &wire.JobRecord{Kind: &wire.JobRecord_Accept{Accept: spec}}
	if err := p.append(ctx, "accept-"+spec.GetId(), rec); err != nil {
		return nil, err
	}
	return p.awaitStatus(ctx, spec)
}

// acceptedStatus returns the status of the job if it was accepted before, or a conflict if its specification differs.
func (p *Placer) acceptedStatus(spec *wire.JobSpec) (*wire.JobStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.fold.Get(ident.Job(spec.GetId()))
	if !ok {
		return nil, nil
	}
	if !proto.Equal(j.Spec, spec) {
		return nil, fault.New(fault.CodeConflict, fault.NotRun, "the job was accepted with another specification")
	}
	return p.status(j), nil
}

// awaitStatus waits until the job's record is read back from the log, whose order decides between concurrent
// submissions.
func (p *Placer) awaitStatus(ctx context.Context, spec *wire.JobSpec) (*wire.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, ownRecordTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if s, err := p.acceptedStatus(spec); s != nil || err != nil {
			return s, err
		}
		tick.Pause(ctx, ownRecordInterval)
	}
	return nil, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "the record has not come back from the log yet").
		WithRetry(time.Second)
}

// Cancel cancels a job in its home domain.
func (p *Placer) Cancel(ctx context.Context, id ident.Job) (*wire.JobStatus, error) {
	if home := p.homeOf(id); home != p.opts.Domain {
		return p.callHome(home, func(peer wire.Peer) (*wire.JobStatus, error) {
			return peer.CancelJob(ctx, &wire.JobRequest{Id: string(id)})
		})
	}
	s, err := p.Show(id)
	if err != nil || jobs.Phase(s.GetPhase()) == jobs.PhaseCancelled {
		return s, err
	}
	if err := jobs.Phase(s.GetPhase()).ValidateTransition(jobs.PhaseCancelled); err != nil {
		return nil, err
	}
	rec := &wire.JobRecord{Kind: &wire.JobRecord_Cancel{Cancel: &wire.JobRequest{Id: string(id)}}}
	if err := p.append(ctx, "cancel-"+string(id), rec); err != nil {
		return nil, err
	}
	s.Phase = string(jobs.PhaseCancelled)
	return s, nil
}

// Show returns the status of a job of this domain.
func (p *Placer) Show(id ident.Job) (*wire.JobStatus, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	j, ok := p.fold.Get(id)
	if !ok {
		return nil, fault.New(fault.CodeNotFound, fault.NotRun, "no job "+string(id))
	}
	return p.status(j), nil
}

// ShowAnywhere returns the status of a job from its home domain.
func (p *Placer) ShowAnywhere(ctx context.Context, id ident.Job) (*wire.JobStatus, error) {
	if home := p.homeOf(id); home != p.opts.Domain {
		return p.callHome(home, func(peer wire.Peer) (*wire.JobStatus, error) {
			return peer.ShowJob(ctx, &wire.JobRequest{Id: string(id)})
		})
	}
	return p.Show(id)
}

// List returns the newest jobs of this domain.
func (p *Placer) List(limit int) *wire.ListJobsResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if limit <= 0 || limit > maxListedJobs {
		limit = maxListedJobs
	}
	all := p.fold.All()
	all = all[max(0, len(all)-limit):]
	out := &wire.ListJobsResponse{}
	for _, j := range all {
		out.Jobs = append(out.Jobs, p.status(j))
	}
	return out
}

// status returns the status of a job. The caller must hold p.mu.
func (p *Placer) status(j *jobs.Job) *wire.JobStatus {
	s := &wire.JobStatus{
		Spec: j.Spec, Phase: string(j.Phase), Reason: j.Reason, Done: uint32(j.DoneTasks()), Home: string(p.opts.Domain),
	}
	if j.Phase.IsEnded() {
		return s
	}
	s.Pending = uint32(len(j.Tasks) - j.DoneTasks())
	if p.board == nil {
		return s
	}
	for i := range j.Tasks {
		t, ok := p.board.Get(tasks.Key{Job: j.ID(), Index: uint32(i)})
		if ok && t.Phase != tasks.PhasePending && t.Phase != tasks.PhaseFinished {
			s.Running++
			s.Pending--
		}
	}
	return s
}

func (p *Placer) homeOf(id ident.Job) ident.Domain {
	home, _ := p.homes.Owner(string(id))
	return home
}

func (p *Placer) callHome(
	home ident.Domain, call func(wire.Peer) (*wire.JobStatus, error),
) (*wire.JobStatus, error) {
	for _, peer := range p.opts.Member.Peers(p.opts.Now()) {
		if peer.Domain != home || peer.Draining {
			continue
		}
		s, err := call(p.opts.Dial(peer.Address))
		return s, wire.FaultFromError(err)
	}
	return nil, fault.New(fault.CodeNoOwner, fault.NotRun, "the job's home domain "+string(home)+" cannot be reached").
		WithRetry(time.Second)
}

func (p *Placer) append(ctx context.Context, id string, rec *wire.JobRecord) error {
	data, err := proto.Marshal(rec)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode job record")
	}
	return p.committer.Append(ctx, logio.Record{ID: id, Data: data})
}
