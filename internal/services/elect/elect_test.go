package elect_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const maxExecutorLease = 6 * time.Second

// process is one process of an instance that takes part in the election.
type process struct {
	*elect.Elector
	terms chan elect.Term
	stop  func()
	view  *memlog.View
	// refusesAppends makes the store refuse the appends of the process.
	refusesAppends atomic.Bool
	// ends is what the process states of leases at the end of each term.
	ends expiry.Times
}

func (p *process) leaseEnds(uint64) expiry.Times { return p.ends }

// storeOf is the access of a process to the log.
type storeOf struct {
	*memlog.View
	process *process
}

// Append implements logs.Log.
func (s storeOf) Append(
	ctx context.Context, t logs.Topic, part logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	if s.process.refusesAppends.Load() {
		return 0, fault.New(fault.CodeUnavailable, fault.NotRun, "the log refuses appends")
	}
	return s.View.Append(ctx, t, part, records, c)
}

// network has the processes by their address, for requests to yield.
type network struct {
	mu        sync.Mutex
	processes map[string]*process
}

func newNetwork() *network { return &network{processes: map[string]*process{}} }

// set sets the process at an address, or removes it.
func (n *network) set(address string, p *process) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.processes[address] = p
}

func (n *network) process(address string) *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processes[address]
}

func start(t *testing.T, log *memlog.Log, name string, cores float64, claimDelay time.Duration) *process {
	t.Helper()
	return newNetwork().start(t, log, name, cores, claimDelay)
}

func (n *network) start(
	t *testing.T, log *memlog.Log, name string, cores float64, claimDelay time.Duration,
) *process {
	t.Helper()
	p := &process{terms: make(chan elect.Term, 8), view: log.View()}
	n.set(name, p)
	p.Elector = elect.New(elect.Options{
		AskYield: n.askYield,
		Log:      storeOf{p.view, p}, Instance: name, Address: name, Cores: cores, ClaimDelay: claimDelay,
		MaxExecutorLease: maxExecutorLease, IsEligible: func() bool { return true }, LeaseEnds: p.leaseEnds,
		RunTerm: func(ctx context.Context, term elect.Term) error {
			p.terms <- term
			<-ctx.Done()
			return ctx.Err()
		},
		Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- p.Serve(ctx) }()
	p.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(p.stop)
	return p
}

func newLog(t *testing.T) *memlog.Log {
	t.Helper()
	t.Cleanup(tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) }))
	return memlog.New(rand.New(rand.NewPCG(1, 2)))
}

// TestRepeatedClaimAwaitsFormerLease kills the leader, and its successor right after the claim. The next process of the
// successor finds its own claim as the newest record, but the former process may have granted leases after it.
func TestRepeatedClaimAwaitsFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		first := start(t, log, "a", 1, 0)
		<-first.terms
		second := start(t, log, "b", 1, 0)
		time.Sleep(3 * time.Second)
		first.stop()
		claim := awaitRecord(log)
		<-second.terms
		second.stop()
		term := <-start(t, log, "b", 1, 0).terms
		wait := term.ExecutorLeasesExpireAt.Sub(claim)
		assert.Assert(t, wait >= maxExecutorLease, "waits %v", wait)
	})
}

// TestOtherLeaderAwaitsFormerLease replaces the leader by another instance, which cannot know that the former one has
// ended.
func TestOtherLeaderAwaitsFormerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		former := start(t, log, "a", 1, 0)
		<-former.terms
		next := start(t, log, "b", 1, 0)
		time.Sleep(3 * time.Second)
		heartbeat := awaitRecord(log)
		former.stop()
		term := <-next.terms
		wait := term.ExecutorLeasesExpireAt.Sub(heartbeat)
		assert.Assert(t, wait >= maxExecutorLease, "waits %v", wait)
	})
}

// TestSmallerInstanceIsNotAsCapable checks that the capacity of the leader reaches the other instances.
func TestSmallerInstanceIsNotAsCapable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		large := start(t, log, "large", 0.8, 0)
		equal := start(t, log, "equal", 0.8, 500*time.Millisecond)
		small := start(t, log, "small", 0.2, time.Second)
		assert.Assert(t, small.IsAsCapable(), "while no leader is known, every instance may have to lead")
		time.Sleep(3 * time.Second)
		assert.Assert(t, large.IsLeader(tick.Now()))
		assert.Assert(t, large.IsAsCapable())
		assert.Assert(t, equal.IsAsCapable())
		assert.Assert(t, !small.IsAsCapable())
	})
}
