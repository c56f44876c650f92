package member

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// catchUp fetches member records from a peer of the domain that has a newer view.
func (m *Member) catchUp(ctx context.Context, address string, s *wire.PeerState) {
	m.mu.Lock()
	from := m.view.Next()
	isBehind := ident.Domain(s.GetDomain()) == m.opts.Domain && ident.Offset(s.GetViewOffset()) > from
	m.mu.Unlock()
	if !isBehind {
		return
	}
	res, err := m.opts.Dial(address).FetchMembers(ctx, &wire.FetchMembersRequest{From: uint64(from)})
	if err != nil {
		return
	}
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, data := range res.GetRecords() {
		m.apply(now, ident.Offset(res.GetFirst())+ident.Offset(i), data)
	}
}

// HandleExchange records the heartbeat of a peer and answers it.
func (m *Member) HandleExchange(now tick.Time, req *wire.ExchangeRequest) *wire.ExchangeResponse {
	from := req.GetState().GetMember()
	m.recordState(now, from.GetPeerAddress(), req.GetState())
	var promised time.Duration
	m.mu.Lock()
	isSameDomain := ident.Domain(req.GetState().GetDomain()) == m.opts.Domain
	if isSameDomain && req.GetPromiseMs() > 0 && !m.draining {
		promised = m.grantor.Promise(now, ident.Instance(from.GetName()), ident.Incarnation(from.GetIncarnation()),
			time.Duration(req.GetPromiseMs())*time.Millisecond)
	}
	res := &wire.ExchangeResponse{PromisedMs: uint32(promised.Milliseconds())}
	for _, name := range m.grantor.CoSigned() {
		res.Signed = append(res.Signed, string(name))
	}
	caller := ident.Instance(from.GetName())
	isJoiner := m.view.Has(caller, ident.Incarnation(from.GetIncarnation())) && !m.view.IsVoting(caller)
	res.Admitted = isSameDomain && isJoiner && m.voting && !m.draining
	m.mu.Unlock()
	res.State = m.State(now)
	return res
}

// HandleFetchMembers returns the retained records of the member stream from the requested offset on.
func (m *Member) HandleFetchMembers(req *wire.FetchMembersRequest) (*wire.FetchMembersResponse, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	from := ident.Offset(req.GetFrom())
	if from < m.firstRecord || from > m.view.Next() {
		return nil, fault.New(fault.CodeTrimmed, fault.NotRun, "member records not kept that far back")
	}
	res := &wire.FetchMembersResponse{First: uint64(from)}
	for i := int(from - m.firstRecord); i < len(m.records); i++ {
		res.Records = append(res.Records, m.records[i])
	}
	return res, nil
}
