package member

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// suspects returns the members that exceeded their heartbeat timeout and for which a fence attempt is due, and
// schedules their next attempt. The timeout of a member without a recorded heartbeat starts now.
func (m *Member) suspects(now tick.Time) []*wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.voting {
		return nil
	}
	var out []*wire.Member
	for _, v := range m.view.Members() {
		lastHeartbeat, ok := m.lastHeartbeatAt[v.Name]
		if !ok {
			m.lastHeartbeatAt[v.Name] = now
			continue
		}
		timeout := suspectHeartbeats * m.opts.HeartbeatInterval
		if !v.Voting {
			timeout = retentionHeartbeats * m.opts.HeartbeatInterval
		}
		if v.Name == m.opts.Self || now.Sub(lastHeartbeat) < timeout || now.Before(m.nextFenceAt[v.Name]) {
			continue
		}
		m.nextFenceAt[v.Name] = now.Add(m.opts.HeartbeatInterval)
		out = append(out, toWire(v))
	}
	for name := range m.lastHeartbeatAt {
		if _, ok := m.view.Member(name); !ok {
			delete(m.lastHeartbeatAt, name)
			delete(m.nextFenceAt, name)
		}
	}
	return out
}

// fence collects co-signatures and appends the fence record once there is a quorum.
func (m *Member) fence(ctx context.Context, target *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Term)
	defer cancel()
	name, inc := ident.Instance(target.GetName()), ident.Incarnation(target.GetIncarnation())
	m.mu.Lock()
	signed := m.grantor.CoSign(m.opts.Now(), name, inc)
	quorum := m.view.FenceQuorum(name)
	members := m.view.Members()
	self := m.wire()
	m.mu.Unlock()
	if !signed {
		return
	}
	signers := []*wire.Member{self}
	for _, v := range members {
		if v.Name == m.opts.Self || v.Name == name || !v.Voting {
			continue
		}
		res, err := m.opts.Dial(v.Address).CoSign(ctx, &wire.CoSignRequest{Asker: self, Target: target})
		if err == nil && res.GetSigned() {
			signers = append(signers, toWire(v))
		}
	}
	if len(signers) < quorum {
		m.opts.Logger.Debug().Str("target", string(name)).Int("signatures", len(signers)).Int("quorum", quorum).
			Msg("fence-quorum-not-reached")
		return
	}
	m.opts.Logger.Warn().Str("target", string(name)).Uint64("incarnation", uint64(inc)).Msg("fencing")
	m.append(ctx, &wire.MemberRecord{Kind: &wire.MemberRecord_Fence{
		Fence: &wire.Fence{By: self, Target: target, CoSigners: signers[1:]},
	}})
}

// HandleCoSign decides whether this instance co-signs the fence of another member.
func (m *Member) HandleCoSign(now tick.Time, req *wire.CoSignRequest) *wire.CoSignResponse {
	m.mu.Lock()
	defer m.mu.Unlock()
	target := ident.Instance(req.GetTarget().GetName())
	inc := ident.Incarnation(req.GetTarget().GetIncarnation())
	switch {
	case !m.view.Has(m.opts.Self, m.inc) || !m.voting:
		return &wire.CoSignResponse{Reason: "not a voting member"}
	case !m.view.Has(target, inc):
		return &wire.CoSignResponse{Reason: "target is not a member"}
	case now.Sub(m.lastHeartbeatAt[target]) < suspectHeartbeats*m.opts.HeartbeatInterval:
		return &wire.CoSignResponse{Reason: "target was heard from"}
	case !m.grantor.CoSign(now, target, inc):
		return &wire.CoSignResponse{Reason: "a promise stands"}
	}
	return &wire.CoSignResponse{Signed: true}
}

// RemoveByOperator appends an operator's assertion that the member has terminated.
func (m *Member) RemoveByOperator(ctx context.Context, name ident.Instance, reason string) error {
	v, ok := m.View().Member(name)
	if !ok {
		return fault.New(fault.CodeNotFound, fault.NotRun, "no member "+string(name))
	}
	rec := &wire.MemberRecord{Kind: &wire.MemberRecord_Remove{Remove: &wire.Remove{Target: toWire(v), Reason: reason}}}
	data, err := proto.Marshal(rec)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, fault.NotRun, "encode removal")
	}
	return m.appendData(ctx, "remove-"+string(name), data)
}
