package member

import (
	"context"
	"time"

	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

type heartbeatService struct{ m *Member }

// HeartbeatService returns the service that sends heartbeats.
func (m *Member) HeartbeatService() suprv.Service { return heartbeatService{m} }

// String returns the name of the service for logs.
func (heartbeatService) String() string { return "member-beat" }

// Serve implements suprv.Service.
func (s heartbeatService) Serve(ctx context.Context) error {
	t := time.NewTicker(s.m.opts.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.m.sendHeartbeats(ctx)
		case <-s.m.viewChanged:
			s.m.Announce(ctx)
		case <-ctx.Done():
			s.m.calls.Wait(ctx)
			return ctx.Err()
		}
	}
}

// Announce sends heartbeats to the domain immediately, so that a change of ownership takes effect early.
func (m *Member) Announce(ctx context.Context) {
	for _, address := range m.domainTargets() {
		m.exchangeAsync(ctx, address)
	}
}

// sendHeartbeats does the work of one heartbeat interval: it starts the exchanges with the peers, the admissions, and
// the fences of members that do not respond, and drops stale peers.
func (m *Member) sendHeartbeats(ctx context.Context) {
	m.mu.Lock()
	m.heartbeatCount++
	isRemoteRound := m.heartbeatCount%remoteHeartbeatRatio == 1
	m.mu.Unlock()
	for _, address := range m.domainTargets() {
		m.exchangeAsync(ctx, address)
	}
	if isRemoteRound {
		for _, address := range m.remoteTargets() {
			if m.isInitiator(address) {
				m.exchangeAsync(ctx, address)
			}
		}
	}
	m.dropStalePeers()
	m.calls.Go(ctx, m.admit)
	for _, target := range m.suspects(m.opts.Now()) {
		m.calls.Go(ctx, func(ctx context.Context) { m.fence(ctx, target) })
	}
}

// domainTargets returns the addresses of the other members of the view.
func (m *Member) domainTargets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for _, v := range m.view.Members() {
		if v.Name != m.opts.Self {
			out = append(out, v.Address)
		}
	}
	return out
}

// remoteTargets returns the addresses of instances outside the view, taken from the instance list, the seeds and
// earlier heartbeats.
func (m *Member) remoteTargets() []string {
	known := map[string]bool{m.opts.Address: true}
	for _, a := range m.domainTargets() {
		known[a] = true
	}
	var out []string
	add := func(address string) {
		if !known[address] && len(out) < maxPeers {
			known[address] = true
			out = append(out, address)
		}
	}
	for _, e := range m.opts.Roster().Entries {
		if e.Kind == roster.KindEntry {
			add(e.Address)
		}
	}
	for _, s := range m.opts.Seeds {
		add(s)
	}
	for _, p := range m.AllPeers() {
		add(p.Address)
	}
	return out
}

// isInitiator reports whether this side starts the heartbeat exchange with an instance outside the view. One exchange
// informs both sides, so the instance with the lower address starts it, and the other one only if it receives no
// heartbeats.
func (m *Member) isInitiator(address string) bool {
	if m.opts.Address < address {
		return true
	}
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	return !ok || now.Sub(p.LastHeartbeatAt) > 2*remoteHeartbeatRatio*m.opts.HeartbeatInterval
}

// exchangeAsync starts a heartbeat exchange with the address unless one is in flight.
func (m *Member) exchangeAsync(ctx context.Context, address string) {
	m.mu.Lock()
	isInFlight := m.inFlight[address]
	m.inFlight[address] = true
	m.mu.Unlock()
	if isInFlight {
		return
	}
	done := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.inFlight, address)
	}
	started := m.calls.Go(ctx, func(ctx context.Context) {
		defer done()
		m.exchange(ctx, address)
	})
	if !started {
		done()
	}
}

func (m *Member) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.HeartbeatInterval*2)
	defer cancel()
	sent := m.opts.Now()
	req := &wire.ExchangeRequest{State: m.State(sent), PromiseMs: uint32(m.opts.Term.Milliseconds())}
	res, err := m.opts.Dial(address).Exchange(ctx, req)
	if err != nil {
		return
	}
	now := m.opts.Now()
	m.recordState(now, address, res.GetState())
	m.recordPromise(sent, res)
	if res.GetAdmitted() {
		m.recordAdmission(ctx, res.GetState().GetMember())
	}
	m.catchUp(ctx, address, res.GetState())
}

// recordPromise records a peer's promise. Its duration is counted from the time the request was sent, so that it ends
// here before it ends at the peer.
func (m *Member) recordPromise(sent tick.Time, res *wire.ExchangeResponse) {
	if res.GetPromisedMs() == 0 || ident.Domain(res.GetState().GetDomain()) != m.opts.Domain {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	from := res.GetState().GetMember()
	until := sent.Add(time.Duration(res.GetPromisedMs()) * time.Millisecond)
	m.holder.RecordPromise(ident.Instance(from.GetName()), ident.Incarnation(from.GetIncarnation()), until,
		ident.Offset(res.GetState().GetViewOffset()), toNames(res.GetSigned()))
}

func toNames(names []string) []ident.Instance {
	out := make([]ident.Instance, 0, len(names))
	for _, n := range names {
		out = append(out, ident.Instance(n))
	}
	return out
}

// State returns the state that this instance sends in heartbeats.
func (m *Member) State(now tick.Time) *wire.PeerState {
	m.mu.Lock()
	s := &wire.PeerState{
		Domain: string(m.opts.Domain), Member: m.wire(), ViewOffset: uint64(m.view.Epoch()), Draining: m.draining,
	}
	r := m.reporter
	m.mu.Unlock()
	if r != nil {
		s.Held = r.HeldSlots(now)
		s.Loads = r.Loads(now)
		s.Version = uint64(r.Version())
	}
	return s
}

// recordState records the state that a peer sent.
func (m *Member) recordState(now tick.Time, address string, s *wire.PeerState) {
	if s.GetMember().GetName() == string(m.opts.Self) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	if !ok {
		if len(m.peers) >= maxPeers {
			return
		}
		p = &Peer{Address: address}
		m.peers[address] = p
	}
	p.Name = ident.Instance(s.GetMember().GetName())
	p.Incarnation = ident.Incarnation(s.GetMember().GetIncarnation())
	p.Domain = ident.Domain(s.GetDomain())
	p.LastHeartbeatAt, p.Loads, p.Draining = now, s.GetLoads(), s.GetDraining()
	p.Epoch, p.Version = ident.Offset(s.GetViewOffset()), ident.Version(s.GetVersion())
	if p.Domain == m.opts.Domain {
		m.acknowledge(now, p, s)
	}
}

// acknowledge records which view a member of the domain has reached and which slots it holds. The caller must hold
// m.mu.
func (m *Member) acknowledge(now tick.Time, p *Peer, s *wire.PeerState) {
	held := make(map[ident.Key]int, len(s.GetHeld()))
	for _, h := range s.GetHeld() {
		held[ident.Key(h.GetKey())] = int(h.GetSlots())
	}
	m.table.Acknowledge(p.Name, p.Incarnation, p.Epoch, held)
	if m.view.Has(p.Name, p.Incarnation) {
		m.lastHeartbeatAt[p.Name] = now
	}
	m.notify()
}

// dropStalePeers removes the peers that sent no heartbeat for retentionHeartbeats intervals.
func (m *Member) dropStalePeers() {
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		if now.Sub(p.LastHeartbeatAt) > retentionHeartbeats*m.opts.HeartbeatInterval {
			delete(m.peers, address)
		}
	}
}
