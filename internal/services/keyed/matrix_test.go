package keyed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/route"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/internal/state/view"
	"github.com/ibischute/ibischute/pkg/bundle"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// step is a point between the receipt of a keyed request and its answer.
type step string

const (
	beforeRecord   step = "before the record leaves"
	afterOneRecord step = "after one of two others recorded"
	beforeDispatch step = "before the dispatch"
	whileRunning   step = "while it runs"
	beforeOutcome  step = "before the others learn the outcome"
	// afterOutcome has no hook: the owner fails after it has answered and the others have recorded the outcome.
	afterOutcome step = "after the others learned the outcome"
)

// failure is the way in which the owner fails at a step.
type failure string

const (
	killed      failure = "killed"
	frozen      failure = "frozen"
	partitioned failure = "cut off"
)

// domain runs three Keyed services in one process, with a view, a network and executors that the test controls.
type domain struct {
	now    tick.Time
	view   atomic.Pointer[view.View]
	offset ident.Offset
	bundle *bundle.Bundle
	nodes  map[ident.Instance]*node
	runs   atomic.Int32
	// mu serializes the messages between nodes.
	mu       sync.Mutex
	stepHook atomic.Pointer[func(step)]
}

func (d *domain) reachStep(s step) { (*d.stepHook.Load())(s) }

func (d *domain) setStepHook(f func(step)) { d.stepHook.Store(&f) }

type node struct {
	d     *domain
	name  ident.Instance
	keyed *Keyed
	// unreachable cuts the node off from all others, in both directions.
	unreachable atomic.Bool
	// killed marks a node whose process has ended.
	killed atomic.Bool
	// leaseExpired marks a node whose lease has expired.
	leaseExpired atomic.Bool
}

func (n *node) MayAct(_ tick.Time, key ident.Key) bool {
	owner, _ := n.d.view.Load().Owner(key)
	return !n.leaseExpired.Load() && owner == n.name
}

func (n *node) LeaseUntil(now tick.Time) tick.Time { return now.Add(time.Second) }

func (n *node) Owner(key ident.Key) (view.Member, bool) {
	name, _ := n.d.view.Load().Owner(key)
	return n.d.view.Load().Member(name)
}

func (n *node) View() view.View { return *n.d.view.Load() }

func (n *node) Wire() *wire.Member {
	return &wire.Member{Name: string(n.name), Incarnation: 1, PeerAddress: string(n.name)}
}

func (n *node) IsJoined() bool { return n.d.view.Load().Has(n.name, 1) }

func (n *node) Peers(tick.Time) []member.Peer { return nil }

// Do acts as the executor behind the node.
func (n *node) Do(_ context.Context, r sched.Request) (*execio.Answer, error) {
	n.d.reachStep(beforeDispatch)
	if n.killed.Load() {
		return nil, fault.New(fault.CodeBackend, fault.Unknown, "the process has ended")
	}
	if r.MaySend != nil && !r.MaySend() {
		return nil, fault.New(fault.CodeNotSent, fault.NotRun, "the lease expired")
	}
	run := n.d.runs.Add(1)
	n.d.reachStep(whileRunning)
	if n.unreachable.Load() && !n.leaseExpired.Load() {
		return nil, fault.New(fault.CodeBackend, fault.Unknown, "the executor's answer did not arrive")
	}
	body := fmt.Sprintf("answer %d", run)
	return &execio.Answer{
		Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader([]byte(body))),
	}, nil
}

func (n *node) Load(tick.Time, ident.Service) (free, queued int, acting bool) { return 1, 0, true }

type peer struct {
	wire.Peer
	from, to *node
	// recorded counts the starts of the sending node that other nodes have recorded.
	recorded *int
}

func (p *peer) StoreIntent(_ context.Context, req *wire.StoreIntentRequest) (*wire.StoreIntentResponse, error) {
	p.from.d.mu.Lock()
	defer p.from.d.mu.Unlock()
	isStart := req.GetIntents()[0].GetPhase() == wire.IntentPhase_INTENT_PHASE_STARTED
	if isStart && *p.recorded == 0 {
		p.from.d.reachStep(beforeRecord)
	}
	if !isStart {
		p.from.d.reachStep(beforeOutcome)
	}
	if p.from.unreachable.Load() || p.to.unreachable.Load() {
		return nil, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "lost")
	}
	res := p.to.keyed.HandleStore(req)
	if isStart {
		*p.recorded++
		if *p.recorded == 1 {
			p.from.d.reachStep(afterOneRecord)
		}
	}
	return res, nil
}

func (p *peer) FetchIntents(context.Context, *wire.FetchIntentsRequest) (*wire.FetchIntentsResponse, error) {
	if p.from.unreachable.Load() || p.to.unreachable.Load() {
		return nil, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "lost")
	}
	return p.to.keyed.HandleFetch(), nil
}

func newDomain() *domain {
	d := &domain{now: 1, bundle: &bundle.Bundle{KeyRetention: time.Minute}, nodes: map[ident.Instance]*node{}}
	d.view.Store(&view.View{})
	d.setStepHook(func(step) {})
	for _, name := range []ident.Instance{"a", "b", "c"} {
		d.nodes[name] = d.boot(name)
		d.join(name)
		d.syncAll()
	}
	return d
}

func (d *domain) boot(name ident.Instance) *node {
	n := &node{d: d, name: name}
	recorded := new(int)
	now := func() tick.Time { return d.now }
	router := route.New(route.Options{
		Domain: "home", Local: n, Peers: n.Peers, Now: now, Wall: func() time.Time { return time.Unix(0, 0) },
	})
	n.keyed = New(Options{
		Self: name, Domain: "home", Domains: []ident.Domain{"home"}, Member: n, Router: router,
		Logger: zerolog.Nop(), Now: now,
		Config: func() *bundle.Bundle { return d.bundle },
		Dial: func(address string) wire.Peer {
			return &peer{from: n, to: d.nodes[ident.Instance(address)], recorded: recorded}
		},
	})
	return n
}

func (d *domain) apply(rec *wire.MemberRecord) {
	next := d.view.Load().Apply(rec, d.offset)
	d.view.Store(&next)
	d.offset++
}

func (d *domain) join(name ident.Instance) {
	joiner := &wire.Member{Name: string(name), Incarnation: 1, PeerAddress: string(name)}
	d.apply(&wire.MemberRecord{Kind: &wire.MemberRecord_Join{Join: &wire.Join{Member: joiner}}})
	for _, m := range d.view.Load().Members() {
		by := &wire.Member{Name: string(m.Name), Incarnation: 1}
		d.apply(&wire.MemberRecord{Kind: &wire.MemberRecord_Admit{Admit: &wire.Admit{By: by, Joiner: joiner}}})
	}
}

func (d *domain) syncAll() {
	for _, name := range []ident.Instance{"a", "b", "c"} {
		if n := d.nodes[name]; n != nil && !n.unreachable.Load() {
			n.keyed.syncOnce(context.Background())
		}
	}
}

// fence removes a member that the others cannot reach.
func (d *domain) fence(name ident.Instance) {
	target := &wire.Member{Name: string(name), Incarnation: 1}
	d.apply(&wire.MemberRecord{Kind: &wire.MemberRecord_Remove{Remove: &wire.Remove{Target: target}}})
	d.syncAll()
}

func (d *domain) request() Request {
	return Request{
		Request: route.Request{
			Request: sched.Request{
				Request: execio.Request{ID: "r", Method: http.MethodPost, Path: "/", Header: http.Header{}},
				Service: "s", Tenant: "t", Deadline: d.now.Add(time.Hour),
			},
		},
		Key: "k", Fingerprint: "f",
	}
}

// send sends the request to a node and returns the body, or what the error says about execution.
func (d *domain) send(name ident.Instance) string {
	answer, err := d.nodes[name].keyed.doAsOwner(context.Background(), ident.IdempotencyKey("t", "k"), d.request())
	if err != nil {
		return "ran: " + string(fault.From(err).Ran)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return "cut"
	}
	return string(body)
}

func (d *domain) owner() ident.Instance {
	name, _ := d.view.Load().Owner(ident.IdempotencyKey("t", "k"))
	return name
}

// injectFailure makes the owner fail in the given way when it reaches the step.
func (d *domain) injectFailure(owner ident.Instance, at step, f failure) {
	var injected atomic.Bool
	d.setStepHook(func(s step) {
		if s != at || injected.Swap(true) {
			return
		}
		n := d.nodes[owner]
		n.unreachable.Store(true)
		n.killed.Store(f == killed)
		if f == frozen {
			// The process is suspended here until the others have fenced it, and resumes without a lease.
			n.leaseExpired.Store(true)
			d.fence(owner)
		}
	})
}

// TestOwnerFailsAtEachStep fails the owner of a key at each step in each way, lets the others take over, and repeats
// the request at the new owner. The request must run at most once, and no caller may get the reply that it did not
// run if it did.
func TestOwnerFailsAtEachStep(t *testing.T) {
	for _, at := range []step{beforeRecord, afterOneRecord, beforeDispatch, whileRunning, beforeOutcome, afterOutcome} {
		for _, f := range []failure{killed, frozen, partitioned} {
			t.Run(fmt.Sprintf("%s %s", f, at), func(t *testing.T) {
				d := newDomain()
				owner := d.owner()
				d.injectFailure(owner, at, f)
				first := d.send(owner)
				d.nodes[owner].keyed.calls.Wait(context.Background())
				d.nodes[owner].unreachable.Store(true)
				if d.view.Load().Has(owner, 1) {
					d.fence(owner)
				}
				d.setStepHook(func(step) {})
				assertNoFalseNotRun(t, d, first)
				ranBefore := d.runs.Load()
				again := d.send(d.owner())
				assert.Assert(t, d.runs.Load() <= 1, "ran %d times; first %q, again %q", d.runs.Load(), first, again)
				if ranBefore == 1 {
					assert.Assert(t, again == "answer 1" || again == "ran: unknown", "the repeat got %q", again)
				}
			})
		}
	}
}

// assertNoFalseNotRun fails the test if the reply said that the request did not run although it did.
func assertNoFalseNotRun(t *testing.T, d *domain, reported string) {
	t.Helper()
	if reported == "ran: no" {
		assert.Equal(t, d.runs.Load(), int32(0), "the caller was told that the request did not run")
	}
}

// TestRepeatsGetFirstAnswer sends repeats while the first request runs and after it has ended.
func TestRepeatsGetFirstAnswer(t *testing.T) {
	d := newDomain()
	owner := d.owner()
	repeated := make(chan string, 1)
	d.setStepHook(func(s step) {
		if s == whileRunning {
			d.setStepHook(func(step) {})
			go func() { repeated <- d.send(owner) }()
			time.Sleep(10 * time.Millisecond)
		}
	})
	assert.Equal(t, d.send(owner), "answer 1")
	assert.Equal(t, <-repeated, "answer 1")
	assert.Equal(t, d.send(owner), "answer 1")
	assert.Equal(t, d.runs.Load(), int32(1))
}

// TestMovedTenantOutcomeIsUnknown moves a tenant's home to this domain. A key without a record here may have run at the
// former home, so its outcome must be reported as unknown for the retention period.
func TestMovedTenantOutcomeIsUnknown(t *testing.T) {
	d := newDomain()
	d.bundle = &bundle.Bundle{
		KeyRetention: time.Minute, Tenants: map[ident.Tenant]bundle.Tenant{"t": {Name: "t", Home: "elsewhere"}},
	}
	d.syncAll()
	d.bundle = &bundle.Bundle{KeyRetention: time.Minute}
	d.syncAll()
	assert.Equal(t, d.send(d.owner()), "ran: unknown")
	assert.Equal(t, d.runs.Load(), int32(0))
	d.now = d.now.Add(time.Minute)
	assert.Equal(t, d.send(d.owner()), "answer 1")
}
