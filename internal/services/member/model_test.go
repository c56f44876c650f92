package member

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	modelTerm      = 2 * time.Second
	modelHeartbeat = 400 * time.Millisecond
	// modelRetention is the number of records that the model's log retains.
	modelRetention = 60
	// maxClockDrift is the maximum drift of a clock; two clocks then differ by less than lease.DriftShare.
	maxClockDrift = 2.0 / 100
)

var modelKeys = []ident.Key{"k1", "k2", "k3", "k4", "k5", "k6", "k7", "k8"}

// model is a failure domain of real Members whose log, network and clocks the test controls.
type model struct {
	t               *rapid.T
	now             time.Duration
	log             []logio.Record
	nodes           []*node
	lastIncarnation ident.Incarnation
	// isReliable disables the loss and delay of messages.
	isReliable bool
}

type node struct {
	m       *model
	name    ident.Instance
	address string
	drift   float64
	offset  time.Duration
	member  *Member
	// isLogUnreachable makes the log unavailable to the node.
	isLogUnreachable bool
	// unreachable holds the addresses of nodes with which no messages are exchanged.
	unreachable map[string]bool
	hasLeft     bool
}

func (n *node) clock() tick.Time {
	return tick.Time(time.Hour + n.offset + time.Duration(float64(n.m.now)*(1+n.drift)))
}

func (n *node) boot() {
	n.m.lastIncarnation++
	n.hasLeft = false
	n.member = New(Options{
		Self: n.name, Domain: "d", Address: n.address, Incarnation: n.m.lastIncarnation, Term: modelTerm,
		HeartbeatInterval: modelHeartbeat, Log: &fakeLog{n}, Dial: n.dial,
		Roster: func() roster.List { return roster.List{} },
		Logger: zerolog.Nop(), Now: n.clock, SnapshotRecords: 20, SnapshotInterval: time.Hour,
		NewIncarnation: func() ident.Incarnation {
			n.m.lastIncarnation++
			return n.m.lastIncarnation
		},
	})
}

type fakeLog struct{ n *node }

func (l *fakeLog) Append(_ context.Context, _ ident.Stream, records []logio.Record) (ident.Offset, error) {
	if l.n.isLogUnreachable {
		return 0, fault.New(fault.CodeUnavailable, fault.NotRun, "cut")
	}
	first := ident.Offset(len(l.n.m.log))
	for _, r := range records {
		r.Offset = ident.Offset(len(l.n.m.log))
		l.n.m.log = append(l.n.m.log, r)
	}
	return first, nil
}

func (l *fakeLog) Read(
	_ context.Context, _ ident.Stream, from ident.Offset, _ time.Duration,
) (logio.Batch, error) {
	if l.n.isLogUnreachable {
		return logio.Batch{}, fault.New(fault.CodeUnavailable, fault.NotRun, "cut")
	}
	next := ident.Offset(len(l.n.m.log))
	if earliest := ident.Offset(max(0, len(l.n.m.log)-modelRetention)); from < earliest {
		return logio.Batch{Earliest: earliest}, fault.New(fault.CodeTrimmed, fault.NotRun, "trimmed")
	}
	return logio.Batch{Next: next, Records: append([]logio.Record{}, l.n.m.log[min(from, next):]...)}, nil
}

// link is the connection from one node to another.
type link struct {
	wire.Peer
	from, to *node
}

func (n *node) dial(address string) wire.Peer {
	for _, other := range n.m.nodes {
		if other.address == address {
			return &link{from: n, to: other}
		}
	}
	return nil
}

func (l *link) isCut() bool {
	return l.to.member == nil || l.to.unreachable[l.from.address] || l.from.unreachable[l.to.address]
}

var errLost = fault.New(fault.CodeUnknownOutcome, fault.Unknown, "lost")

func (l *link) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	if l.isCut() {
		return nil, errLost
	}
	l.from.m.delay("request")
	res := l.to.member.HandleExchange(l.to.clock(), req)
	l.from.m.delay("response")
	if !l.from.m.isReliable && rapid.IntRange(0, 9).Draw(l.from.m.t, "lost") == 0 {
		return nil, errLost
	}
	return res, nil
}

func (l *link) CoSign(_ context.Context, req *wire.CoSignRequest) (*wire.CoSignResponse, error) {
	if l.isCut() {
		return nil, errLost
	}
	l.from.m.delay("request")
	return l.to.member.HandleCoSign(l.to.clock(), req), nil
}

func (l *link) FetchMembers(
	_ context.Context, req *wire.FetchMembersRequest,
) (*wire.FetchMembersResponse, error) {
	if l.isCut() {
		return nil, errLost
	}
	return l.to.member.HandleFetchMembers(req)
}

// delay advances the time while a message is in flight and checks the invariant.
func (m *model) delay(label string) {
	if m.isReliable || rapid.IntRange(0, 3).Draw(m.t, label+"-slow") > 0 {
		return
	}
	m.now += time.Duration(rapid.Int64Range(0, int64(3*modelTerm)).Draw(m.t, label))
	m.checkInvariant()
}

// checkInvariant fails the test if more than one instance may act on a key.
func (m *model) checkInvariant() {
	for _, k := range modelKeys {
		var acting []string
		for _, n := range m.nodes {
			if n.member != nil && !n.hasLeft && n.member.MayAct(n.clock(), k) {
				acting = append(acting, fmt.Sprintf("%s/%d", n.name, n.member.Incarnation()))
			}
		}
		if len(acting) > 1 {
			m.t.Fatalf("at %v both %v may act on %s\n%s", m.now, acting, k, m.describe())
		}
	}
}

// describe returns the log and the state of each node.
func (m *model) describe() string {
	var b strings.Builder
	for _, r := range m.log {
		var rec wire.MemberRecord
		_ = proto.Unmarshal(r.Data, &rec)
		fmt.Fprintf(&b, "%d %v\n", r.Offset, &rec)
	}
	for _, n := range m.nodes {
		if n.member == nil {
			continue
		}
		fmt.Fprintf(&b, "%s/%d left %t cut %t now %v next %d epoch %d members %v read %v promises %v\n", n.name,
			n.member.inc, n.hasLeft, n.isLogUnreachable, n.clock(), n.member.view.Next(), n.member.view.Epoch(),
			n.member.view.Members(), n.member.holder, n.member.grantor)
	}
	return b.String()
}

func (m *model) pickNode(label string) *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(m.t, label)]
}

// pickRunning picks a node and returns it if it is running, and nil otherwise.
func (m *model) pickRunning() *node {
	n := m.pickNode("node")
	if n.member == nil || n.hasLeft {
		return nil
	}
	return n
}

// cancelledContext returns a context that is already cancelled, so that nothing waits in real time. The model's log and
// network ignore it.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (m *model) step() {
	ctx := cancelledContext()
	n := m.pickRunning()
	kind := rapid.SampledFrom([]string{
		"advance", "advance", "read", "read", "read", "exchange", "exchange", "exchange", "exchange", "fence", "fence",
		"admit", "admit", "cut", "heal", "deaf", "hear", "crash", "boot", "leave", "slow-read",
		"split", "split", "unite", "rounds", "rounds", "rounds", "rounds",
	}).Draw(m.t, "step")
	if kind == "boot" {
		if b := m.pickNode("boots"); b.member == nil || b.hasLeft {
			b.boot()
		}
		return
	}
	switch kind {
	case "split":
		m.split()
		return
	case "unite":
		for _, n := range m.nodes {
			n.isLogUnreachable, n.unreachable = false, map[string]bool{}
		}
		return
	case "rounds":
		for range rapid.IntRange(1, 12).Draw(m.t, "rounds") {
			m.round(ctx)
		}
		return
	}
	if kind == "advance" {
		m.now += time.Duration(rapid.Int64Range(0, int64(modelTerm)).Draw(m.t, "advance"))
		return
	}
	if n == nil {
		return
	}
	switch kind {
	case "read":
		n.read(ctx, 0)
	case "slow-read":
		n.read(ctx, time.Duration(rapid.Int64Range(0, int64(3*modelTerm)).Draw(m.t, "read-time")))
	case "exchange":
		n.member.exchange(ctx, m.pickNode("to").address)
	case "fence":
		for _, target := range n.member.suspects(n.clock()) {
			n.member.fence(ctx, target)
		}
	case "admit":
		n.member.admit(ctx)
	case "cut":
		n.isLogUnreachable = true
	case "heal":
		n.isLogUnreachable = false
	case "deaf":
		n.unreachable[m.pickNode("deaf-to").address] = true
	case "hear":
		n.unreachable = map[string]bool{}
	case "crash":
		n.member = nil
		n.unreachable, n.isLogUnreachable = map[string]bool{}, false
	case "leave":
		n.leave(ctx)
	}
}

// split partitions the nodes into two sides and may also make the log unreachable for one side.
func (m *model) split() {
	cutsLog := rapid.Bool().Draw(m.t, "cut-log")
	side := map[string]bool{}
	for _, n := range m.nodes {
		side[n.address] = rapid.Bool().Draw(m.t, "side")
	}
	for _, n := range m.nodes {
		n.isLogUnreachable = cutsLog && side[n.address]
		n.unreachable = map[string]bool{}
		for _, other := range m.nodes {
			n.unreachable[other.address] = side[n.address] != side[other.address]
		}
	}
}

// round runs the work of one heartbeat interval on every running node.
func (m *model) round(ctx context.Context) {
	for _, n := range m.nodes {
		if n.member == nil || n.hasLeft {
			continue
		}
		n.read(ctx, 0)
		for _, address := range n.member.domainTargets() {
			n.member.exchange(ctx, address)
		}
		n.member.admit(ctx)
		for _, target := range n.member.suspects(n.clock()) {
			n.member.fence(ctx, target)
		}
		m.checkInvariant()
	}
	m.now += modelHeartbeat
}

func (n *node) read(ctx context.Context, took time.Duration) {
	started := n.clock()
	b, err := n.member.read(ctx, 0)
	n.m.now += took
	n.m.checkInvariant()
	if fault.IsErrCode(err, fault.CodeTrimmed) {
		_ = n.member.adoptSnapshot(context.Background(), b.Earliest)
		return
	}
	if err == nil {
		n.member.fold(n.clock(), started, b)
		n.member.snapshotIfDue(ctx)
		n.member.joinIfMissing(ctx)
	}
}

// leave stops the node gracefully. The node stops acting before its leave record is appended.
func (n *node) leave(ctx context.Context) {
	n.hasLeft = true
	n.member.SetDraining()
	_ = n.member.Leave(ctx)
}

// settle lets all nodes read, exchange and admit, so that each run starts from a working domain.
func (m *model) settle() {
	ctx := cancelledContext()
	m.isReliable = true
	defer func() { m.isReliable = false }()
	for range 4 {
		for _, n := range m.nodes {
			n.read(ctx, 0)
		}
		for _, n := range m.nodes {
			for _, to := range m.nodes {
				if to != n {
					n.member.exchange(ctx, to.address)
				}
			}
			n.member.admit(ctx)
		}
		m.now += modelHeartbeat
	}
}

func newModel(t *rapid.T, size int) *model {
	m := &model{t: t}
	for i := range size {
		m.nodes = append(m.nodes, &node{
			m: m, name: ident.Instance(fmt.Sprintf("n%d", i)), address: fmt.Sprintf("10.0.0.%d:1", i),
			drift: rapid.Float64Range(-maxClockDrift, maxClockDrift).Draw(t, "rate"), unreachable: map[string]bool{},
			offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")),
		})
	}
	return m
}

// TestAtMostOneActsOnAKey runs real members through random schedules of messages, losses, delays, partitions, crashes,
// graceful stops, pauses and drifting clocks, and checks that at most one instance may act on a key at any time.
func TestAtMostOneActsOnAKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(2, 5).Draw(t, "size"))
		for _, n := range m.nodes {
			n.boot()
		}
		m.settle()
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.step()
			m.checkInvariant()
		}
	})
}

// TestSettledDomainActsOnEveryKey checks that the model is not vacuous: in a domain without faults, each key has an
// owner that may act.
func TestSettledDomainActsOnEveryKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 5).Draw(t, "size"))
		for _, n := range m.nodes {
			n.boot()
		}
		for _, n := range m.nodes {
			n.read(cancelledContext(), 0)
		}
		m.settle()
		for _, k := range modelKeys {
			acting := 0
			for _, n := range m.nodes {
				if n.member.MayAct(n.clock(), k) {
					acting++
				}
			}
			if acting != 1 {
				t.Fatalf("%d instances may act on %s", acting, k)
			}
		}
	})
}
