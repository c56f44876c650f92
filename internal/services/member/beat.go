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

type beatService struct{ m *Member }

// Beat returns the service that exchanges heartbeats.
func (m *Member) Beat() suprv.Service { return beatService{m} }

// String names the service in logs.
func (beatService) String() string { return "member-beat" }

// Serve implements suprv.Service.
func (s beatService) Serve(ctx context.Context) error {
	t := time.NewTicker(s.m.opts.Beat)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.m.beat(ctx)
		case <-s.m.viewChanged:
			s.m.Announce(ctx)
		case <-ctx.Done():
			s.m.calls.Wait(ctx)
			return ctx.Err()
		}
	}
}

// Announce exchanges heartbeats with the domain at once, so that a change of ownership takes effect early.
func (m *Member) Announce(ctx context.Context) {
	for _, address := range m.nearTargets() {
		m.exchangeLater(ctx, address)
	}
}

func (m *Member) beat(ctx context.Context) {
	m.mu.Lock()
	m.beats++
	far := m.beats%farBeats == 1
	m.mu.Unlock()
	for _, address := range m.nearTargets() {
		m.exchangeLater(ctx, address)
	}
	if far {
		for _, address := range m.farTargets() {
			if m.isMyTurn(address) {
				m.exchangeLater(ctx, address)
			}
		}
	}
	m.forget()
	m.calls.Go(ctx, m.admit)
	for _, target := range m.suspects(m.opts.Now()) {
		m.calls.Go(ctx, func(ctx context.Context) { m.fence(ctx, target) })
	}
}

// nearTargets returns the addresses of the other members of the view.
func (m *Member) nearTargets() []string {
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

// farTargets returns the addresses of instances outside of the view, from the list, the seeds and earlier heartbeats.
func (m *Member) farTargets() []string {
	near := map[string]bool{m.opts.Address: true}
	for _, a := range m.nearTargets() {
		near[a] = true
	}
	var out []string
	add := func(address string) {
		if !near[address] && len(out) < maxPeers {
			near[address] = true
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

// isMyTurn reports whether this side begins the heartbeat with an instance of another domain. One heartbeat informs
// both sides, so the lower address begins, and the higher one only if it hears nothing.
func (m *Member) isMyTurn(address string) bool {
	if m.opts.Address < address {
		return true
	}
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.peers[address]
	return !ok || now.Sub(p.Heard) > 2*farBeats*m.opts.Beat
}

// exchangeLater starts a heartbeat to the address unless one is under way.
func (m *Member) exchangeLater(ctx context.Context, address string) {
	m.mu.Lock()
	busy := m.inFlight[address]
	m.inFlight[address] = true
	m.mu.Unlock()
	if busy {
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
	ctx, cancel := context.WithTimeout(ctx, m.opts.Beat*2)
	defer cancel()
	sent := m.opts.Now()
	req := &wire.ExchangeRequest{State: m.State(sent), PromiseMs: uint32(m.opts.Term.Milliseconds())}
	res, err := m.opts.Dial(address).Exchange(ctx, req)
	if err != nil {
		return
	}
	now := m.opts.Now()
	m.note(now, address, res.GetState())
	m.notePromise(sent, res)
	if res.GetAdmitted() {
		m.recordAdmission(ctx, res.GetState().GetMember())
	}
	m.catchUp(ctx, address, res.GetState())
}

// notePromise counts a promise from the moment the request was sent, which is earlier than it was given.
func (m *Member) notePromise(sent tick.Time, res *wire.ExchangeResponse) {
	if res.GetPromisedMs() == 0 || ident.Domain(res.GetState().GetDomain()) != m.opts.Domain {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	from := res.GetState().GetMember()
	until := sent.Add(time.Duration(res.GetPromisedMs()) * time.Millisecond)
	m.keeper.Promise(ident.Instance(from.GetName()), ident.Incarnation(from.GetIncarnation()), until,
		ident.Offset(res.GetState().GetViewOffset()), toNames(res.GetSigned()))
}

func toNames(names []string) []ident.Instance {
	out := make([]ident.Instance, 0, len(names))
	for _, n := range names {
		out = append(out, ident.Instance(n))
	}
	return out
}

// State returns what this instance states in heartbeats.
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

// note records what a peer stated.
func (m *Member) note(now tick.Time, address string, s *wire.PeerState) {
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
	p.Heard, p.Loads, p.Draining = now, s.GetLoads(), s.GetDraining()
	p.Epoch, p.Version = ident.Offset(s.GetViewOffset()), ident.Version(s.GetVersion())
	if p.Domain == m.opts.Domain {
		m.acknowledge(now, p, s)
	}
}

// acknowledge needs the lock.
func (m *Member) acknowledge(now tick.Time, p *Peer, s *wire.PeerState) {
	held := make(map[ident.Key]int, len(s.GetHeld()))
	for _, h := range s.GetHeld() {
		held[ident.Key(h.GetKey())] = int(h.GetSlots())
	}
	m.table.Acknowledge(p.Name, p.Incarnation, p.Epoch, held)
	if m.view.Has(p.Name, p.Incarnation) {
		m.heardAt[p.Name] = now
	}
	m.notify()
}

// forget drops peers that have been silent for long.
func (m *Member) forget() {
	now := m.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for address, p := range m.peers {
		if now.Sub(p.Heard) > forgetBeats*m.opts.Beat {
			delete(m.peers, address)
		}
	}
}
