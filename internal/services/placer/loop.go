package placer

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/modules/workio"
	"github.com/ibischute/ibischute/internal/state/jobs"
	"github.com/ibischute/ibischute/internal/state/lease"
	"github.com/ibischute/ibischute/internal/state/tasks"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	planInterval = 50 * time.Millisecond
	// syncsPerLease is how many times per lease a worker is queried and its leases are renewed.
	syncsPerLease = 5
	// firstSyncInterval is the interval between queries to a worker that has not responded yet.
	firstSyncInterval = 300 * time.Millisecond
	callTimeout       = 2 * time.Second
)

type loopService struct{ p *Placer }

// Loop returns the service that places tasks while this instance owns the placer key.
func (p *Placer) Loop() suprv.Service { return loopService{p} }

// String returns the name of the service for logs.
func (loopService) String() string { return "placer" }

// Serve implements suprv.Service.
func (s loopService) Serve(ctx context.Context) error {
	t := time.NewTicker(planInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.p.calls.Wait(ctx)
			return ctx.Err()
		case <-t.C:
			s.p.cycle(ctx, s.p.opts.Now())
		}
	}
}

func (p *Placer) workerLease() time.Duration {
	if b := p.opts.Config(); b != nil {
		return b.Batch.WorkerLease
	}
	return bundle.DefaultWorkerLease
}

// cycle runs one placement cycle if this instance may place: it updates the board and carries out its plan.
func (p *Placer) cycle(ctx context.Context, now tick.Time) {
	if !p.ensureOwnership(now) {
		return
	}
	p.updateBoard()
	p.syncWorkers(ctx, now)
	p.recordFinished(ctx)
	p.recordFailedJobs(ctx)
	p.mu.Lock()
	var actions []tasks.Action
	isCaughtUp := !p.caughtUpAt.Before(p.ownerSince)
	if isCaughtUp {
		actions = p.board.Plan(now)
	}
	p.mu.Unlock()
	if !isCaughtUp {
		p.calls.Go(ctx, p.catchUp)
	}
	for _, a := range actions {
		p.execute(ctx, a)
	}
}

// catchUp reads the job stream to its end without waiting, because a new placer must not act on a state that is older
// than its start.
func (p *Placer) catchUp(ctx context.Context) {
	if err := p.readOnce(ctx, 0); err != nil {
		p.opts.Logger.Debug().Err(err).Msg("job-stream-read-failed")
	}
}

// ensureOwnership reports whether this instance may place tasks. It creates an empty board when ownership begins and
// drops the board when ownership ends.
func (p *Placer) ensureOwnership(now tick.Time) bool {
	mayAct := p.opts.Member.MayAct(now, ident.PlacerKey)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !mayAct {
		if p.board != nil {
			p.opts.Logger.Info().Msg("placer-stops")
		}
		p.board = nil
		return false
	}
	if p.board == nil {
		p.ownerSince = now
		p.lastSyncAt = map[ident.Worker]tick.Time{}
		p.recorded = map[tasks.Key]bool{}
		for _, j := range p.fold.All() {
			p.changedJobs[j.ID()] = true
		}
		p.board = tasks.NewBoard(tasks.Options{
			Epoch: p.opts.Member.View().Epoch(), Lease: lease.WithDrift(p.opts.LongestLease()), Since: now, Policy: p.policy(),
		})
		p.opts.Logger.Info().Msg("placer-starts")
	}
	return true
}

// updateBoard applies the worker list and the changed jobs to the board.
func (p *Placer) updateBoard() {
	workers := p.opts.Roster().Filter(roster.KindWorker, p.opts.Domain)
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[ident.Worker]bool{}
	for _, e := range workers {
		listed[ident.Worker(e.Name)] = true
		p.board.PutWorker(tasks.Worker{
			Name: ident.Worker(e.Name), Rack: e.Rack, Capacity: e.Capacity.Minus(e.Reserved), Leaving: e.Leaving,
		})
	}
	p.board.UpdatePolicy(p.policy(), lease.WithDrift(p.workerLease()))
	p.board.RetainWorkers(func(w ident.Worker) bool { return listed[w] })
	for id := range p.changedJobs {
		if j, ok := p.fold.Get(id); ok {
			p.updateJobTasks(j)
		}
		delete(p.changedJobs, id)
	}
}

func (p *Placer) updateJobTasks(j *jobs.Job) {
	for i, t := range j.Tasks {
		k := tasks.Key{Job: j.ID(), Index: uint32(i)}
		if t.Done || j.Phase.IsEnded() {
			p.board.DropTask(k)
			delete(p.recorded, k)
			continue
		}
		p.board.PutTask(tasks.Spec{
			Key: k, Size: sizeOf(j.Spec), Team: ident.Team(j.Spec.GetTeam()), Urgent: j.Spec.GetUrgent(),
			Deadline: deadlineOf(j.Spec), Checkpoint: t.Checkpoint, Order: p.jobOrder[j.ID()],
		})
	}
}

func deadlineOf(s *wire.JobSpec) time.Time {
	if s.GetDeadlineUnixMs() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.GetDeadlineUnixMs())
}

// syncWorkers queries the workers that are due and renews the leases of their attempts.
func (p *Placer) syncWorkers(ctx context.Context, now tick.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.board.Workers() {
		interval := p.workerLease() / syncsPerLease
		if !p.board.HasResponded(w) {
			interval = firstSyncInterval
		}
		if p.syncing[w] || (p.lastSyncAt[w] != 0 && now.Sub(p.lastSyncAt[w]) < interval) {
			continue
		}
		p.lastSyncAt[w] = now
		board, renew := p.board, p.board.Renewals(w)
		p.syncing[w] = p.calls.Go(ctx, func(ctx context.Context) { p.syncWorker(ctx, board, w, renew) })
	}
}

func (p *Placer) syncWorker(
	ctx context.Context, board *tasks.Board, w ident.Worker, renew map[tasks.Key]tasks.AttemptNumber,
) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	leases := make([]workio.Lease, 0, len(renew))
	for k, n := range renew {
		leases = append(leases, workio.Lease{ID: taskID(k), Attempt: uint64(n), LeaseMS: p.workerLease().Milliseconds()})
	}
	sent := p.opts.Now()
	var list []workio.Task
	err := error(fault.New(fault.CodeNotSent, fault.NotRun, "placer ownership or lease was lost"))
	if p.opts.Member.MayAct(sent, ident.PlacerKey) {
		list, err = p.opts.Workers.Sync(ctx, w, leases)
	}
	now := p.opts.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.syncing, w)
	if p.board != board {
		return
	}
	if err != nil {
		board.Unreachable(now, w, len(leases) > 0)
		return
	}
	board.ApplyReport(now, sent, w, toReportedAttempts(list), len(leases) > 0)
}

var reportedStates = map[workio.State]tasks.ReportedState{
	workio.StateRunning:      tasks.ReportedRunning,
	workio.StateFinished:     tasks.ReportedFinished,
	workio.StateFailed:       tasks.ReportedFailed,
	workio.StateStopped:      tasks.ReportedEnded,
	workio.StateLeaseExpired: tasks.ReportedEnded,
}

func toReportedAttempts(list []workio.Task) []tasks.ReportedAttempt {
	out := make([]tasks.ReportedAttempt, 0, len(list))
	for _, t := range list {
		out = append(out, tasks.ReportedAttempt{
			Key: keyOf(t.ID), Number: tasks.AttemptNumber(t.Attempt), State: reportedStates[t.State], Size: t.Size,
			Name: fmt.Sprintf("%s#%d", t.ID, t.Attempt),
		})
	}
	return out
}

func taskID(k tasks.Key) workio.TaskID {
	return workio.TaskID(string(k.Job) + "." + strconv.FormatUint(uint64(k.Index), 10))
}

func keyOf(id workio.TaskID) tasks.Key {
	job, index, _ := strings.Cut(string(id), ".")
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil {
		return tasks.Key{}
	}
	return tasks.Key{Job: ident.Job(job), Index: uint32(n)}
}

// policy returns the placement rules of the bundle in force. A team's processor limit is divided evenly among the
// domains, because each domain has its own placer.
func (p *Placer) policy() tasks.Policy {
	rules := bundle.Batch{DefaultTeamShare: 1}
	if b := p.opts.Config(); b != nil {
		rules = b.Batch
	}
	return tasks.Policy{
		MaxFailures: rules.MaxFailures, EvictionsPerHour: rules.EvictionsPerHour,
		Share: func(t ident.Team) float64 {
			if team, ok := rules.Teams[t]; ok {
				return team.Share
			}
			return rules.DefaultTeamShare
		},
		MaxCPU: func(t ident.Team) demand.MilliCPU {
			return demand.MilliCPU(rules.Teams[t].MaxCPU * 1000 / float64(max(1, len(p.opts.Domains))))
		},
	}
}
