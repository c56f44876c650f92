package placer

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/jobs"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// snapshotIfDue appends a snapshot well before the log trims the records that it replaces. The caller must hold p.mu.
func (p *Placer) snapshotIfDue(ctx context.Context) {
	now := p.opts.Now()
	if !p.snapshotSchedule.IsDue(now) || !p.opts.Member.MayAct(now, ident.PlacerKey) {
		return
	}
	p.snapshotSchedule.Reset(now)
	for id := range p.jobOrder {
		if _, ok := p.fold.Get(id); !ok {
			delete(p.jobOrder, id)
		}
	}
	rec := &wire.JobRecord{Kind: &wire.JobRecord_Snapshot{Snapshot: p.fold.Snapshot(p.next)}}
	p.calls.Go(context.WithoutCancel(ctx), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if err := p.append(ctx, fmt.Sprintf("snapshot-%d", now), rec); err != nil {
			p.opts.Logger.Warn().Err(err).Msg("job-snapshot-not-appended")
		}
	})
}

// adoptSnapshot restores the jobs from the first snapshot whose subsequent records the log still retains. If there is
// none, the jobs cannot be restored and it returns an error.
func (p *Placer) adoptSnapshot(ctx context.Context, earliest ident.Offset) error {
	s, err := logio.FindSnapshot(ctx, p.opts.Log, ident.JobStream(p.opts.Domain), earliest, parseSnapshot)
	if fault.IsErrCode(err, fault.CodeTrimmed) {
		p.opts.Logger.Error().Uint64("earliest", uint64(earliest)).Msg("job-stream-lost-without-snapshot")
	}
	if err != nil {
		return err
	}
	p.restoreJobs(s)
	return nil
}

func parseSnapshot(data []byte) (*wire.JobSnapshot, ident.Offset, bool) {
	var rec wire.JobRecord
	if proto.Unmarshal(data, &rec) != nil || rec.GetSnapshot() == nil {
		return nil, 0, false
	}
	return rec.GetSnapshot(), ident.Offset(rec.GetSnapshot().GetNext()), true
}

func (p *Placer) restoreJobs(s *wire.JobSnapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold = jobs.FromSnapshot(s)
	p.next = ident.Offset(s.GetNext())
	p.jobOrder = map[ident.Job]uint64{}
	for i, j := range p.fold.All() {
		p.jobOrder[j.ID()] = uint64(i)
		p.changedJobs[j.ID()] = true
	}
	p.opts.Logger.Info().Int("jobs", len(p.jobOrder)).Uint64("next", uint64(p.next)).Msg("jobs-from-snapshot")
}
