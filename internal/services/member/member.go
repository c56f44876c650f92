// Package member keeps an entry instance in the view of its failure domain and its lease valid.
//
// It folds the domain's member stream, exchanges heartbeats with the other entry instances, asks for promises, admits
// joiners and fences members that fall silent. Other packages ask it who owns a key and whether this instance may act.
//
// # Usage
//
//	m := member.New(options)
//	supervisor.Add(m.Tail()); supervisor.Add(m.Beat())
//	if m.MayAct(now, key) { send() }
package member

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/state/lease"
	"github.com/ibischute/ibischute/internal/state/owner"
	"github.com/ibischute/ibischute/internal/state/snaps"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Options are the settings and the surroundings of a Member.
type Options struct {
	Self        ident.Instance
	Domain      ident.Domain
	Address     string
	Incarnation ident.Incarnation
	Term        time.Duration
	Beat        time.Duration
	Seeds       []string
	Log         logio.Log
	Dial        func(address string) wire.Peer
	Roster      func() roster.List
	Logger      zerolog.Logger
	Now         func() tick.Time
	// SnapshotRecords and SnapshotInterval bound how much of the stream follows its newest snapshot.
	SnapshotRecords  int
	SnapshotInterval time.Duration
	// NewIncarnation numbers a new life after a fence.
	NewIncarnation func() ident.Incarnation
}

const (
	// suspectBeats is how many heartbeats a member may miss before it is suspected.
	suspectBeats = 4
	// farBeats is how many heartbeats of the domain go to one with the other domains.
	farBeats = 6
	// farSilence is how many heartbeats another domain's instance may miss before it is not used.
	farSilence = 3
	// forgetBeats is how many heartbeats a silent peer, or a joiner that nobody admits, is kept.
	forgetBeats = 150
	// maxPeers bounds the instances that are kept.
	maxPeers = 256
	// maxExchanges bounds the heartbeats under way.
	maxExchanges = 64
)

// Peer is what is known about another entry instance.
type Peer struct {
	Name        ident.Instance
	Incarnation ident.Incarnation
	Domain      ident.Domain
	Address     string
	Heard       tick.Time
	Epoch       ident.Offset
	Loads       []*wire.ServiceLoad
	Version     ident.Version
	Draining    bool
}

// Reporter adds what other parts of the instance say in each heartbeat.
type Reporter interface {
	Loads(now tick.Time) []*wire.ServiceLoad
	// HeldSlots returns the slots in use of executors that this instance does not own any more.
	HeldSlots(now tick.Time) []*wire.HeldKey
	Version() ident.Version
}

// Member is an entry instance's part in its failure domain.
type Member struct {
	opts    Options
	calls   *suprv.Group
	changed chan struct{}
	// viewChanged asks for heartbeats at once, so that a change of ownership takes effect early.
	viewChanged chan struct{}

	mu        sync.Mutex
	reporter  Reporter
	inc       ident.Incarnation
	view      view.View
	records   [][]byte
	firstRec  ident.Offset
	table     *owner.Table
	keeper    *lease.Keeper
	grantor   *lease.Grantor
	peers     map[string]*Peer
	inFlight  map[string]bool
	suspected map[ident.Instance]tick.Time
	heardAt   map[ident.Instance]tick.Time
	beats     int
	joined    bool
	voting    bool
	draining  bool
	caughtUp  bool
	cadence   *snaps.Cadence
}

// New returns a Member that has not joined yet.
func New(o Options) *Member {
	grantor := lease.NewGrantor(o.Now(), o.Term)
	return &Member{
		opts: o, inc: o.Incarnation, calls: suprv.NewGroup(maxExchanges), changed: make(chan struct{}, 1),
		viewChanged: make(chan struct{}, 1),
		table:       owner.NewTable(o.Self, lease.WithDrift(o.Term)),
		keeper:      lease.NewKeeper(o.Self, o.Term, grantor), grantor: grantor,
		peers: map[string]*Peer{}, inFlight: map[string]bool{},
		cadence:   snaps.New(o.SnapshotRecords, o.SnapshotInterval, o.Now()),
		suspected: map[ident.Instance]tick.Time{}, heardAt: map[ident.Instance]tick.Time{},
	}
}

// SetReporter sets what is stated in heartbeats; called once before the Member is served.
func (m *Member) SetReporter(r Reporter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reporter = r
}

// Changed is sent to whenever ownership may have changed.
func (m *Member) Changed() <-chan struct{} { return m.changed }

func (m *Member) notify() { wake.Send(m.changed) }

// MayAct reports whether this instance may act on the key now: it is the acting owner and its lease is valid.
func (m *Member) MayAct(now tick.Time, key ident.Key) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasLease(now) && m.table.IsActing(now, key)
}

// HasLease reports whether the lease is valid now.
func (m *Member) HasLease(now tick.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hasLease(now)
}

// hasLease needs the lock.
func (m *Member) hasLease(now tick.Time) bool {
	return m.view.Has(m.opts.Self, m.inc) && m.keeper.IsValid(now, m.view)
}

// LeaseUntil returns when the lease lapses.
func (m *Member) LeaseUntil(now tick.Time) tick.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.view.Has(m.opts.Self, m.inc) {
		return 0
	}
	return m.keeper.Until(now, m.view)
}

// IsOwner reports whether this instance is the winner of the key, acting or not.
func (m *Member) IsOwner(key ident.Key) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsOwner(key)
}

// Owner returns the owner of the key in this domain and its address.
func (m *Member) Owner(key ident.Key) (view.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name, ok := m.view.Winner(key)
	if !ok {
		return view.Member{}, false
	}
	return m.view.Member(name)
}

// Held returns the slots of the key that former owners still use.
func (m *Member) Held(key ident.Key) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Held(key)
}

// View returns the present view.
func (m *Member) View() view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Incarnation returns the number of the present life.
func (m *Member) Incarnation() ident.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc
}

// Wire returns this instance as a message.
func (m *Member) Wire() *wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wire()
}

// wire needs the lock.
func (m *Member) wire() *wire.Member {
	return &wire.Member{Name: string(m.opts.Self), Incarnation: uint64(m.inc), PeerAddress: m.opts.Address}
}

// Peers returns what is known about the instances heard of within the last suspect period.
func (m *Member) Peers(now tick.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, p := range m.peers {
		if p.Name != "" && now.Sub(p.Heard) < m.silence(p.Domain) {
			out = append(out, *p)
		}
	}
	return out
}

// AllPeers returns all that is known about other instances.
func (m *Member) AllPeers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, p := range m.peers {
		out = append(out, *p)
	}
	return out
}

// silence returns for how long a peer of the domain may say nothing before it is not used.
func (m *Member) silence(d ident.Domain) time.Duration {
	if d == m.opts.Domain {
		return suspectBeats * m.opts.Beat
	}
	return farSilence * farBeats * m.opts.Beat
}

// SetDraining states in heartbeats that this instance takes no new work.
func (m *Member) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// IsJoined reports whether this life is a member of the view.
func (m *Member) IsJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Has(m.opts.Self, m.inc)
}
