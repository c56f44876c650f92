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

// snapshotIfDue appends a snapshot well before the log drops the records that it replaces; it needs the lock.
func (p *Placer) snapshotIfDue(ctx context.Context) {
	now := p.opts.Now()
	if !p.cadence.IsDue(now) || !p.opts.Member.MayAct(now, ident.PlacerKey) {
		return
	}
	p.cadence.Seen(now)
	for id := range p.order {
		if _, ok := p.fold.Get(id); !ok {
			delete(p.order, id)
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

// adoptSnapshot starts from the first snapshot whose following records the log still keeps. If there is none, nothing
// older than the retention was left to keep.
func (p *Placer) adoptSnapshot(ctx context.Context, earliest ident.Offset) error {
	s, err := logio.FindSnapshot(ctx, p.opts.Log, ident.JobStream(p.opts.Domain), earliest, parseSnapshot)
	if fault.IsErrCode(err, fault.CodeTrimmed) {
		p.opts.Logger.Error().Uint64("earliest", uint64(earliest)).Msg("job-stream-lost-without-snapshot")
	}
	if err != nil {
		return err
	}
	p.startFrom(s)
	return nil
}

func parseSnapshot(data []byte) (*wire.JobSnapshot, ident.Offset, bool) {
	var rec wire.JobRecord
	if proto.Unmarshal(data, &rec) != nil || rec.GetSnapshot() == nil {
		return nil, 0, false
	}
	return rec.GetSnapshot(), ident.Offset(rec.GetSnapshot().GetNext()), true
}

func (p *Placer) startFrom(s *wire.JobSnapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold = jobs.FromSnapshot(s)
	p.next = ident.Offset(s.GetNext())
	p.order = map[ident.Job]uint64{}
	for i, j := range p.fold.All() {
		p.order[j.ID()] = uint64(i)
		p.dirty[j.ID()] = true
	}
	p.opts.Logger.Info().Int("jobs", len(p.order)).Uint64("next", uint64(p.next)).Msg("jobs-from-snapshot")
}
