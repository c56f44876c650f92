package leader_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/services/config"
	"github.com/ibischute/ibischute/internal/services/elect"
	"github.com/ibischute/ibischute/internal/services/group"
	"github.com/ibischute/ibischute/internal/services/health"
	"github.com/ibischute/ibischute/internal/services/intake"
	"github.com/ibischute/ibischute/internal/services/leader"
	"github.com/ibischute/ibischute/internal/services/replic"
	"github.com/ibischute/ibischute/internal/stand/memex"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/internal/state/cell"
	"github.com/ibischute/ibischute/internal/state/circ"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// system runs all instances and executors in one process and in virtual time.
type system struct {
	t         *testing.T
	log       *memlog.Log
	fleet     *memex.Fleet
	instances []*instance
	meter     *meter.Meter

	// mu guards peers and silent. Calls to the instances in silent get no response.
	mu     sync.Mutex
	peers  map[string]http.Handler
	silent map[string]bool
}

// setSilent sets whether calls between instances to the given one get no response.
func (s *system) setSilent(name string, isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[name] = isSilent
}

// setFaults sets the faults of the log for all instances.
func (s *system) setFaults(f memlog.Faults) {
	for _, n := range s.instances {
		n.view.SetFaults(f)
	}
}

type instance struct {
	name    string
	view    *memlog.View
	elector *elect.Elector
	leader  *leader.Leader
	intake  *intake.Intake
	kill    context.CancelFunc
	ended   chan struct{}
}

var params = cell.Params{
	MaxHold: 6 * time.Second, StopTimeout: 200 * time.Millisecond, Retention: time.Minute, LookAhead: true,
}

const executors = 4

// callerPatience is how long a caller waits, less the part that is reserved for the response.
const callerPatience = 2900 * time.Millisecond

func newSystem(t *testing.T, instances int) *system {
	t.Helper()
	restore := tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) })
	s := &system{
		t: t, log: memlog.New(rand.New(rand.NewPCG(1, 2))), fleet: memex.New(), peers: map[string]http.Handler{},
		silent: map[string]bool{},
		meter:  meter.New(),
	}
	operator := s.log.View()
	ctx := t.Context()
	_, err := operator.Append(ctx, logs.Operator, 0, []logs.Record{{Key: "config", Value: []byte("1")}}, logs.Condition{})
	assert.NilError(t, err)
	for i := range executors {
		id := fmt.Sprintf("x%d", i)
		s.fleet.Add(id)
		_, err := operator.Append(ctx, logs.Backends, 0, []logs.Record{{Key: id, Value: []byte(id)}}, logs.Condition{})
		assert.NilError(t, err)
	}
	for i := range instances {
		s.instances = append(s.instances, s.start(fmt.Sprintf("n%d", i)))
	}
	t.Cleanup(func() {
		for _, n := range s.instances {
			n.kill()
			<-n.ended
		}
		assert.NilError(t, s.meter.Close())
		restore()
	})
	return s
}

// newSystemWithLeader returns a system of three instances and its leader.
func newSystemWithLeader(t *testing.T) (*system, *instance) {
	t.Helper()
	s := newSystem(t, 3)
	time.Sleep(2 * time.Second)
	return s, s.leader()
}

// RoundTrip implements http.RoundTripper for calls between instances.
func (s *system) RoundTrip(r *http.Request) (*http.Response, error) {
	s.mu.Lock()
	h, ok := s.peers[r.URL.Host]
	isSilent := s.silent[r.URL.Host]
	s.mu.Unlock()
	if !ok {
		return nil, fault.New(fault.CodeNotSent, fault.NotRun, "no such instance")
	}
	if isSilent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

// enforcing are the services of tests whose executors refuse what exceeds their capacity.
var enforcing = map[string]queue.Service{"svc": {Name: "svc", EnforcesCapacity: true}}

func decodeConfig(string, []byte) (*queue.Configuration, error) {
	return &queue.Configuration{Version: 1, Services: enforcing, Queues: []queue.Queue{
		{Name: "q", Service: "svc", MaxAttempts: 3, StretchFactor: 2, TargetMS: 1000},
	}}, nil
}

func decodeExecutor(id string, _ []byte) (queue.Executor, error) {
	return queue.Executor{ID: id, Address: id, Service: "svc", MilliCPU: 16000, MemoryMB: 64000}, nil
}

func (s *system) start(name string) *instance {
	n := &instance{name: name, view: s.log.View(), ended: make(chan struct{})}
	logger := zerolog.Nop()
	log := health.New(n.view, circ.New(health.MinSilence), logger)
	follower := config.New(log, decodeConfig, logger)
	replica := replic.New(replic.Options{
		Log: log, FollowsProgress: func() bool { return n.elector.IsAsCapable() }, Logger: logger,
	})
	n.leader = leader.New(leader.Options{
		Log: log, Executors: s.fleet, Replica: replica, Config: follower, Decode: decodeExecutor, Params: params,
		HoldsLease:   func(now tick.Time) bool { return n.elector.IsLeader(now) },
		IsSoleLeader: func(now tick.Time) bool { return n.elector.IsSoleLeader(now) }, Meter: s.meter, Logger: logger,
	})
	n.elector = elect.New(elect.Options{
		Log: log, Instance: name, Address: name, MaxExecutorLease: params.LongestLease(),
		IsEligible: func() bool {
			_, ok := follower.Current()
			return ok
		},
		AskYield: intake.AskYield(&http.Client{Transport: s}), RunTerm: n.leader.Run, Logger: logger,
	})
	committer := group.New(group.Options{
		Log: log, Topic: logs.Intake, LastStoreResponseAt: log.Circuit().LastResponseAt, ReportSilence: log.ReportSilence,
		IsStored:     replica.HasSubmission,
		HasOtherPath: func() bool { return n.intake.CanForward() }, Spread: float64(len(s.instances)%10) / 10,
	})
	n.intake = intake.New(intake.Options{
		Committer: committer, SelfAddress: name, Elector: n.elector, Leader: n.leader, Replica: replica,
		StoreCircuit: log.Circuit(), ConfirmStore: log.Confirm, Client: &http.Client{Transport: s},
		VisibleWithin: 3 * time.Second,
		Meter:         s.meter, Logger: logger,
	})
	s.mu.Lock()
	s.peers[name] = jobpb.NewJobsServer(intake.NewPeerServer(n.intake))
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.kill = func() {
		s.mu.Lock()
		delete(s.peers, name)
		s.mu.Unlock()
		cancel()
	}
	services := []func(context.Context) error{
		follower.Serve, replica.Serve, n.elector.Serve, committer.Serve, n.intake.Serve,
	}
	done := make(chan struct{}, len(services))
	for _, serve := range services {
		go func() {
			_ = serve(ctx)
			done <- struct{}{}
		}()
	}
	go func() {
		for range cap(done) {
			<-done
		}
		close(n.ended)
	}()
	return n
}

// leader returns the instance that is the leader, or nil.
func (s *system) leader() *instance {
	for _, n := range s.instances {
		if n.elector.IsLeader(tick.Now()) {
			return n
		}
	}
	return nil
}

// others returns the instances except one.
func (s *system) others(first *instance) []*instance {
	var list []*instance
	for _, n := range s.instances {
		if n != first {
			list = append(list, n)
		}
	}
	return list
}

// awaitOtherLeader waits until another instance is the leader, which must take less than the limit.
func (s *system) awaitOtherLeader(first *instance, limit time.Duration) {
	s.t.Helper()
	began := time.Now()
	for s.leader() == nil || s.leader() == first {
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(s.t, time.Since(began) < limit, "took %v", time.Since(began))
}

func (s *system) job(id int) *jobpb.Job {
	return &jobpb.Job{
		Id: jobID(id), Queue: "q", Service: "svc", Spec: "s", AcceptedMs: time.Now().UnixMilli(),
		Steps: []*jobpb.Step{
			{Count: 3, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 400},
			{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 400, DependsOn: []uint32{0}},
		},
	}
}

func (s *system) state(n *instance, id int) (jobpb.State, bool) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
	defer cancel()
	st, known, err := n.intake.State(ctx, jobID(id))
	assert.NilError(s.t, err)
	return st, known
}

// submit submits a job with the deadline of a caller.
func (s *system) submit(n *instance, id int) error { return s.acceptInTime(n, s.job(id)) }

func (s *system) acceptInTime(n *instance, j *jobpb.Job) error {
	ctx, cancel := context.WithTimeout(s.t.Context(), callerPatience)
	defer cancel()
	return n.intake.Accept(ctx, j)
}

// accept submits a job, which must be accepted.
func (s *system) accept(n *instance, id int) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
	defer cancel()
	assert.NilError(s.t, n.intake.Accept(ctx, s.job(id)))
}

func (s *system) checkCompleted(n *instance, jobs int) {
	s.t.Helper()
	for id := range jobs {
		st, known := s.state(n, id)
		assert.Assert(s.t, known, "job %d is not known", id)
		assert.Equal(s.t, st, jobpb.State_STATE_COMPLETED)
	}
	assert.Equal(s.t, len(s.fleet.Violations()), 0, "%v", s.fleet.Violations())
	assert.Equal(s.t, s.fleet.Running(), 0)
}

func TestAnyInstanceServesCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		for id := range 6 {
			s.accept(s.instances[id%3], id)
		}
		time.Sleep(3 * time.Second)
		for _, n := range s.instances {
			s.checkCompleted(n, 6)
		}
	})
}

func TestLeaderKilledWhileJobsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 10 {
			s.accept(s.instances[id%3], id)
			time.Sleep(50 * time.Millisecond)
		}
		first.kill()
		s.awaitOtherLeader(first, 2500*time.Millisecond)
		time.Sleep(4 * time.Second)
		s.checkCompleted(s.leader(), 10)
	})
}

func TestResigningLeaderHandsOverImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 5 {
			s.accept(first, id)
		}
		first.elector.Resign()
		s.awaitOtherLeader(first, 500*time.Millisecond)
		time.Sleep(3 * time.Second)
		s.checkCompleted(s.leader(), 5)
	})
}

func TestStoreOutageKeepsLeaderAndJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 5 {
			s.accept(first, id)
		}
		s.setFaults(memlog.Faults{Down: true})
		// The outage is shorter than elect.LeaseDuration.
		time.Sleep(4 * time.Second)
		assert.Assert(t, s.leader() == first)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		started := time.Now()
		err := first.intake.Accept(ctx, s.job(99))
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		assert.Assert(t, fault.From(err).RetryAfter > 0)
		assert.Assert(t, time.Since(started) < 100*time.Millisecond, "a refusal took %v", time.Since(started))
		s.setFaults(memlog.Faults{})
		time.Sleep(3 * time.Second)
		assert.Assert(t, s.leader() == first)
		s.checkCompleted(first, 5)
		_, known := s.state(first, 99)
		assert.Assert(t, !known, "a rejected job is known")
	})
}

func TestLeaderWithoutStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		first.view.SetFaults(memlog.Faults{Unresponsive: true})
		for id := range 5 {
			time.Sleep(300 * time.Millisecond)
			s.accept(s.others(first)[0], id)
		}
		time.Sleep(8 * time.Second)
		assert.Assert(t, s.leader() != nil && s.leader() != first)
		s.checkCompleted(s.leader(), 5)
		first.view.SetFaults(memlog.Faults{})
		time.Sleep(3 * time.Second)
		s.checkCompleted(first, 5)
	})
}

// TestTasksStartSoonAfterStoreRefusesLeader checks a leader that alone does not reach the store, with jobs that have
// started. It must give up the lead to an instance that does, and no task may run twice.
func TestTasksStartSoonAfterStoreRefusesLeader(t *testing.T) {
	const maxReplacement = 1500 * time.Millisecond
	for name, f := range map[string]memlog.Faults{"refused": {Down: true}, "unanswered": {Unresponsive: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, first := newSystemWithLeader(t)
				other := s.others(first)[0]
				for id := range 5 {
					s.accept(other, id)
				}
				first.view.SetFaults(f)
				s.awaitOtherLeader(first, maxReplacement)
				for id := range 5 {
					s.accept(other, 5+id)
				}
				time.Sleep(3 * time.Second)
				s.checkCompleted(s.leader(), 10)
			})
		})
	}
}

func TestUnresponsiveStoreFailsFastAfterFirstRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{Unresponsive: true})
		err := s.submit(first, 0)
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "the outcome must be reported as unknown: %v", err)
		refused := 0
		for id := 1; id < 10; id++ {
			started := time.Now()
			err := s.submit(first, id)
			if fault.IsErrNotRun(err) {
				assert.Assert(t, time.Since(started) < 20*time.Millisecond, "a refusal took %v", time.Since(started))
				assert.Assert(t, fault.From(err).RetryAfter > 0)
				refused++
			}
		}
		assert.Assert(t, refused >= 7, "%d of 9 were refused at once", refused)
	})
}

func TestInstanceRejectedByStoreForwardsToLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		n := s.others(first)[0]
		n.view.SetFaults(memlog.Faults{Down: true})
		s.accept(n, 0)
		time.Sleep(2 * time.Second)
		s.checkCompleted(s.leader(), 1)
	})
}

func TestLostStoreResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{LoseAnswers: 0.35})
		accepted := 0
		var refused []int
		for id := range 12 {
			err := s.submit(s.instances[id%3], id)
			if err == nil {
				accepted++
				continue
			}
			if fault.IsErrNotRun(err) {
				refused = append(refused, id)
			}
		}
		s.setFaults(memlog.Faults{})
		time.Sleep(8 * time.Second)
		assert.Assert(t, accepted >= 10, "accepted %d of 12", accepted)
		assert.Equal(t, len(refused), 0, "a job that may be stored is said not to run: %v", refused)
		s.checkCompleted(s.leader(), 12)
	})
}

func TestTakeoverAfterLogTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		for id := range 5 {
			s.accept(first, id)
		}
		time.Sleep(100 * time.Millisecond)
		for _, topic := range []logs.Topic{logs.Intake, logs.Progress, logs.Election, logs.Operator, logs.Backends} {
			s.log.Trim(topic, 0)
		}
		s.instances = append(s.instances, s.start("n9"))
		time.Sleep(2 * time.Second)
		first.kill()
		time.Sleep(6 * time.Second)
		s.checkCompleted(s.leader(), 5)
	})
}

func TestCancelStopsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		n := s.instances[1]
		s.accept(n, 0)
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, s.fleet.Running() > 0)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		assert.NilError(t, n.intake.Cancel(ctx, jobID(0)))
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, s.fleet.Running(), 0)
		for _, i := range s.instances {
			st, known := s.state(i, 0)
			assert.Assert(t, known)
			assert.Equal(t, st, jobpb.State_STATE_CANCELLED)
		}
	})
}
