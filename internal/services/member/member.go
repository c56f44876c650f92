// Package member maintains an entry instance's membership in the view of its failure domain, and its lease.
//
// It folds the domain's member stream, exchanges heartbeats with the other entry instances, admits joiners and fences
// members that do not respond: a fence is a record that removes a member and needs the signatures of a quorum. The
// lease is valid after a recent read of the stream, or while enough other members promise not to co-sign a fence of
// this instance. Other packages query the owner of a key and whether this instance may act.
//
// # Usage
//
//	m := member.New(options)
//	supervisor.Add(m.Tail()); supervisor.Add(m.HeartbeatService())
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

// Options holds the settings and dependencies of a Member.
type Options struct {
	Self        ident.Instance
	Domain      ident.Domain
	Address     string
	Incarnation ident.Incarnation
	// Term is the duration of the lease and the longest duration of a promise.
	Term              time.Duration
	HeartbeatInterval time.Duration
	Seeds             []string
	Log               logio.Log
	Dial              func(address string) wire.Peer
	Roster            func() roster.List
	Logger            zerolog.Logger
	Now               func() tick.Time
	// SnapshotRecords and SnapshotInterval limit how much of the stream follows its newest snapshot.
	SnapshotRecords  int
	SnapshotInterval time.Duration
	// NewIncarnation returns the incarnation number to use after this instance was fenced.
	NewIncarnation func() ident.Incarnation
}

const (
	// suspectHeartbeats is the number of missed heartbeats after which a member is suspected.
	suspectHeartbeats = 4
	// remoteHeartbeatRatio is the number of heartbeats to members of the view for each heartbeat to other instances.
	remoteHeartbeatRatio = 6
	// remoteTimeoutHeartbeats is the number of missed remote heartbeats after which an instance of another domain is not
	// used.
	remoteTimeoutHeartbeats = 3
	// retentionHeartbeats is the number of missed heartbeats after which a peer is dropped and a member that does not
	// vote yet is suspected.
	retentionHeartbeats = 150
	// maxPeers bounds the peers that are tracked.
	maxPeers = 256
	// maxConcurrentCalls bounds the heartbeat exchanges, admissions and fences in progress.
	maxConcurrentCalls = 64
)

// Peer is the last known state of another entry instance.
type Peer struct {
	Name            ident.Instance
	Incarnation     ident.Incarnation
	Domain          ident.Domain
	Address         string
	LastHeartbeatAt tick.Time
	// Epoch is the epoch of the peer's view of its domain.
	Epoch ident.Offset
	Loads []*wire.ServiceLoad
	// Version is the configuration version in force at the peer.
	Version  ident.Version
	Draining bool
}

// Reporter provides the state of other components that heartbeats carry.
type Reporter interface {
	Loads(now tick.Time) []*wire.ServiceLoad
	// HeldSlots returns the slots in use on executors that this instance no longer acts for.
	HeldSlots(now tick.Time) []*wire.HeldKey
	// Version returns the configuration version in force.
	Version() ident.Version
}

// Member tracks the view of a failure domain and this instance's membership, lease and peers.
type Member struct {
	opts    Options
	calls   *suprv.Group
	changed chan struct{}
	// viewChanged triggers immediate heartbeats, so that a change of ownership takes effect early.
	viewChanged chan struct{}

	mu       sync.Mutex
	reporter Reporter
	inc      ident.Incarnation
	view     view.View
	// records are the newest records of the member stream; firstRecord is the offset of the first of them.
	records     [][]byte
	firstRecord ident.Offset
	table       *owner.Table
	holder      *lease.Holder
	grantor     *lease.Grantor
	peers       map[string]*Peer
	inFlight    map[string]bool
	nextFenceAt map[ident.Instance]tick.Time
	// lastHeartbeatAt is when the last heartbeat of a member of the view arrived; before the first one, it is when the
	// member joined or was first seen in the view.
	lastHeartbeatAt map[ident.Instance]tick.Time
	heartbeatCount  int
	// joined reports whether this incarnation was a member after the last read of the stream.
	joined           bool
	voting           bool
	draining         bool
	caughtUp         bool
	snapshotSchedule *snaps.Schedule
}

// New returns a Member that has not joined yet.
func New(o Options) *Member {
	grantor := lease.NewGrantor(o.Now(), o.Term)
	return &Member{
		opts: o, inc: o.Incarnation, calls: suprv.NewGroup(maxConcurrentCalls), changed: make(chan struct{}, 1),
		viewChanged: make(chan struct{}, 1),
		table:       owner.NewTable(o.Self, lease.WithDrift(o.Term)),
		holder:      lease.NewHolder(o.Self, o.Term, grantor), grantor: grantor,
		peers: map[string]*Peer{}, inFlight: map[string]bool{},
		snapshotSchedule: snaps.New(o.SnapshotRecords, o.SnapshotInterval, o.Now()),
		nextFenceAt:      map[ident.Instance]tick.Time{}, lastHeartbeatAt: map[ident.Instance]tick.Time{},
	}
}

// SetReporter sets the provider of state for heartbeats. It must be called once, before the Member is served.
func (m *Member) SetReporter(r Reporter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reporter = r
}

// Changed returns a channel that is signalled whenever ownership may have changed.
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

// hasLease is HasLease for callers that hold m.mu.
func (m *Member) hasLease(now tick.Time) bool {
	return m.view.Has(m.opts.Self, m.inc) && m.holder.IsValid(now, m.view)
}

// LeaseUntil returns when the lease expires, or 0 if this instance is not a member.
func (m *Member) LeaseUntil(now tick.Time) tick.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.view.Has(m.opts.Self, m.inc) {
		return 0
	}
	return m.holder.Until(now, m.view)
}

// IsOwner reports whether this instance owns the key in the current view, even if it may not act on it yet.
func (m *Member) IsOwner(key ident.Key) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.IsOwner(key)
}

// Owner returns the owner of the key in this domain and its address.
func (m *Member) Owner(key ident.Key) (view.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	name, ok := m.view.Owner(key)
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

// View returns the current view.
func (m *Member) View() view.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view
}

// Incarnation returns the current incarnation number.
func (m *Member) Incarnation() ident.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inc
}

// Wire returns this instance as a protobuf message.
func (m *Member) Wire() *wire.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wire()
}

// wire is Wire for callers that hold m.mu.
func (m *Member) wire() *wire.Member {
	return &wire.Member{Name: string(m.opts.Self), Incarnation: uint64(m.inc), PeerAddress: m.opts.Address}
}

// Peers returns the peers whose last heartbeat is within their timeout.
func (m *Member) Peers(now tick.Time) []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, p := range m.peers {
		if p.Name != "" && now.Sub(p.LastHeartbeatAt) < m.peerTimeout(p.Domain) {
			out = append(out, *p)
		}
	}
	return out
}

// AllPeers returns all tracked peers, including those past their timeout.
func (m *Member) AllPeers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Peer
	for _, p := range m.peers {
		out = append(out, *p)
	}
	return out
}

// peerTimeout returns how long a peer of the domain is used without a new heartbeat.
func (m *Member) peerTimeout(d ident.Domain) time.Duration {
	if d == m.opts.Domain {
		return suspectHeartbeats * m.opts.HeartbeatInterval
	}
	return remoteTimeoutHeartbeats * remoteHeartbeatRatio * m.opts.HeartbeatInterval
}

// SetDraining makes heartbeats announce that this instance takes no new work.
func (m *Member) SetDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = true
}

// IsJoined reports whether this incarnation is a member of the view.
func (m *Member) IsJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Has(m.opts.Self, m.inc)
}
