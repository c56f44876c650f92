package member

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxRetainedRecords bounds the records retained for peers that cannot read the log.
const maxRetainedRecords = 4096

type tailService struct{ m *Member }

// Tail returns the service that follows the member stream.
func (m *Member) Tail() suprv.Service { return tailService{m} }

// String returns the name of the service for logs.
func (tailService) String() string { return "member-tail" }

// Serve implements suprv.Service.
func (s tailService) Serve(ctx context.Context) error {
	m := s.m
	wait := m.opts.Term / 2
	for ctx.Err() == nil {
		started := m.opts.Now()
		batch, err := m.read(ctx, wait)
		now := m.opts.Now()
		if fault.IsErrCode(err, fault.CodeTrimmed) {
			err = m.adoptSnapshot(ctx, batch.Earliest)
		}
		if err != nil {
			m.opts.Logger.Debug().Err(err).Msg("member-stream-read-failed")
			tick.Pause(ctx, m.opts.HeartbeatInterval)
			continue
		}
		m.fold(now, started, batch)
		m.snapshotIfDue(ctx)
		m.joinIfMissing(ctx)
	}
	return ctx.Err()
}

// read reads the records after the view. Before this instance has joined it does not wait for new records, so that the
// join is not delayed.
func (m *Member) read(ctx context.Context, wait time.Duration) (logio.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+m.opts.Term)
	defer cancel()
	m.mu.Lock()
	from, joined := m.view.Next(), m.joined
	m.mu.Unlock()
	if !joined {
		wait = 0
	}
	return m.opts.Log.Read(ctx, ident.MemberStream(m.opts.Domain), from, wait)
}

// fold applies a batch from a log read that began at the given start time. A read up to the end of the stream renews
// the lease.
func (m *Member) fold(now, started tick.Time, b logio.Batch) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range b.Records {
		m.apply(now, r.Offset, r.Data)
	}
	m.caughtUp = m.view.Next() >= b.Next
	if m.caughtUp {
		m.holder.RecordRead(started)
	}
}

// apply folds one record. The caller must hold m.mu.
func (m *Member) apply(now tick.Time, at ident.Offset, data []byte) {
	if at != m.view.Next() {
		return
	}
	var rec wire.MemberRecord
	if err := proto.Unmarshal(data, &rec); err != nil {
		m.opts.Logger.Warn().Err(err).Uint64("offset", uint64(at)).Msg("member-record-unreadable")
	}
	before := m.view
	m.view = before.Apply(&rec, at)
	m.snapshotSchedule.Count()
	if rec.GetSnapshot() != nil {
		m.snapshotSchedule.Reset(now)
	}
	m.retainRecord(at, data)
	if m.view.Epoch() == before.Epoch() {
		return
	}
	m.table.Advance(now, m.view)
	m.grantor.Prune(now, m.view)
	if j := rec.GetJoin().GetMember(); j != nil {
		m.lastHeartbeatAt[ident.Instance(j.GetName())] = now
	}
	m.updateOwnState(now, before)
	m.opts.Logger.Info().Uint64("epoch", uint64(m.view.Epoch())).Int("members", m.view.Len()).
		Str("record", fmt.Sprintf("%T", rec.GetKind())).Msg("view-changed")
	m.notify()
	wake.Send(m.viewChanged)
}

// updateOwnState updates this instance's own state after a change of view. An instance that was removed and is not
// draining gets a new incarnation, under which it joins again. The caller must hold m.mu.
func (m *Member) updateOwnState(now tick.Time, before view.View) {
	self, isListed := m.view.Member(m.opts.Self)
	isMember := isListed && self.Incarnation == m.inc
	if isMember && self.Voting && !m.voting {
		m.grantor.Delay(now)
	}
	m.voting = isMember && self.Voting
	if before.Has(m.opts.Self, m.inc) && !isMember && !m.draining {
		m.inc = m.opts.NewIncarnation()
		m.joined = false
		m.holder.Reset()
		m.opts.Logger.Warn().Uint64("incarnation", uint64(m.inc)).Msg("fenced")
	}
}

// retainRecord retains the record for peers that cannot read the log. The caller must hold m.mu.
func (m *Member) retainRecord(at ident.Offset, data []byte) {
	if len(m.records) == 0 {
		m.firstRecord = at
	}
	m.records = append(m.records, data)
	if len(m.records) > maxRetainedRecords {
		m.records = m.records[1:]
		m.firstRecord++
	}
}

// joinIfMissing appends the join of this incarnation unless it is already a member.
func (m *Member) joinIfMissing(ctx context.Context) {
	m.mu.Lock()
	isMember := m.view.Has(m.opts.Self, m.inc)
	m.joined = isMember
	shouldJoin := m.caughtUp && !m.draining && !isMember
	self := m.wire()
	m.mu.Unlock()
	if shouldJoin {
		m.append(ctx, &wire.MemberRecord{Kind: &wire.MemberRecord_Join{Join: &wire.Join{Member: self}}})
	}
}

// admit appends this instance's admissions of joiners.
func (m *Member) admit(ctx context.Context) {
	m.mu.Lock()
	joiners := m.pendingAdmissions(m.opts.Now())
	self := m.wire()
	m.mu.Unlock()
	for _, j := range joiners {
		m.append(ctx, &wire.MemberRecord{Kind: &wire.MemberRecord_Admit{Admit: &wire.Admit{By: self, Joiner: j}}})
	}
}

// recordAdmission appends the admission of this instance on behalf of a member that may be unable to reach the log.
func (m *Member) recordAdmission(ctx context.Context, by *wire.Member) {
	m.mu.Lock()
	self := m.wire()
	isMissing := m.view.Has(m.opts.Self, m.inc) && !m.voting &&
		!m.view.HasAdmitted(ident.Instance(by.GetName()), m.opts.Self)
	m.mu.Unlock()
	if isMissing {
		m.append(ctx, &wire.MemberRecord{Kind: &wire.MemberRecord_Admit{Admit: &wire.Admit{By: by, Joiner: self}}})
	}
}

// pendingAdmissions returns the joiners that this voting member receives heartbeats from and has not admitted. The
// caller must hold m.mu.
func (m *Member) pendingAdmissions(now tick.Time) []*wire.Member {
	if !m.caughtUp || !m.voting {
		return nil
	}
	var out []*wire.Member
	for _, j := range m.view.Members() {
		if !j.Voting && !m.view.HasAdmitted(m.opts.Self, j.Name) && m.hasRecentHeartbeat(now, j) {
			out = append(out, toWire(j))
		}
	}
	return out
}

// hasRecentHeartbeat reports whether a heartbeat of this incarnation of the member arrived within its timeout. The
// caller must hold m.mu.
func (m *Member) hasRecentHeartbeat(now tick.Time, v view.Member) bool {
	p, ok := m.peers[v.Address]
	return ok && p.Incarnation == v.Incarnation && now.Sub(p.LastHeartbeatAt) < m.peerTimeout(m.opts.Domain)
}

func toWire(v view.Member) *wire.Member {
	return &wire.Member{Name: string(v.Name), Incarnation: uint64(v.Incarnation), PeerAddress: v.Address}
}

// append adds a record to the member stream. A lost answer needs no handling, because every record is idempotent.
func (m *Member) append(ctx context.Context, rec *wire.MemberRecord) {
	data, err := proto.Marshal(rec)
	if err != nil {
		m.opts.Logger.Error().Err(err).Msg("member-record-not-encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.opts.Term)
	defer cancel()
	if err := m.appendData(ctx, "record", data); err != nil {
		m.opts.Logger.Warn().Err(err).Msg("member-append-failed")
		tick.Pause(ctx, m.opts.HeartbeatInterval)
	}
}

// Leave appends the graceful end of this incarnation. The caller must no longer act on any key.
func (m *Member) Leave(ctx context.Context) error {
	data, err := proto.Marshal(&wire.MemberRecord{Kind: &wire.MemberRecord_Leave{Leave: &wire.Leave{Member: m.Wire()}}})
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode leave")
	}
	return m.appendData(ctx, "leave", data)
}

func (m *Member) appendData(ctx context.Context, kind string, data []byte) error {
	id := fmt.Sprintf("%s-%s-%d-%d", kind, m.opts.Self, m.Incarnation(), m.opts.Now())
	_, err := m.opts.Log.Append(ctx, ident.MemberStream(m.opts.Domain), []logio.Record{{ID: id, Data: data}})
	return err
}
