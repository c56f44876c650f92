package member

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// snapshotKey is the key whose owner appends the snapshots.
const snapshotKey ident.Key = "member-snapshot"

// snapshotIfDue appends a snapshot well before the log trims the records that it replaces.
func (m *Member) snapshotIfDue(ctx context.Context) {
	now := m.opts.Now()
	m.mu.Lock()
	isOwner := m.caughtUp && m.hasLease(now) && m.table.IsOwner(snapshotKey)
	isDue := isOwner && m.snapshotSchedule.IsDue(now)
	v := m.view
	if isDue {
		m.snapshotSchedule.Reset(now)
	}
	m.mu.Unlock()
	if isDue {
		m.append(ctx, &wire.MemberRecord{Kind: &wire.MemberRecord_Snapshot{Snapshot: v.Snapshot()}})
	}
}

// adoptSnapshot restores the view from the first snapshot whose subsequent records the log still retains.
func (m *Member) adoptSnapshot(ctx context.Context, earliest ident.Offset) error {
	s, err := logio.FindSnapshot(ctx, m.opts.Log, ident.MemberStream(m.opts.Domain), earliest, parseSnapshot)
	if fault.IsErrCode(err, fault.CodeTrimmed) {
		m.opts.Logger.Error().Uint64("earliest", uint64(earliest)).Msg("member-stream-lost-without-snapshot")
	}
	if err != nil {
		return err
	}
	m.restoreView(view.FromSnapshot(s))
	return nil
}

func parseSnapshot(data []byte) (*wire.MemberSnapshot, ident.Offset, bool) {
	var rec wire.MemberRecord
	if proto.Unmarshal(data, &rec) != nil || rec.GetSnapshot() == nil {
		return nil, 0, false
	}
	return rec.GetSnapshot(), ident.Offset(rec.GetSnapshot().GetNext()), true
}

func (m *Member) restoreView(v view.View) {
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.view
	m.view = v
	m.records, m.firstRecord = nil, v.Next()
	m.table.Restart(now, v)
	m.grantor.Prune(now, v)
	m.updateOwnState(now, before)
	m.opts.Logger.Info().Uint64("next", uint64(v.Next())).Int("members", v.Len()).Msg("view-from-snapshot")
	m.notify()
}
