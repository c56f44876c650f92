package leader_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxEvacuationDelay is the longest time from a request until nothing starts in the domain, and from its withdrawal
	// until tasks start there again.
	maxEvacuationDelay = time.Second
	// evacuationWatch is how long starts in an evacuated domain are watched for.
	evacuationWatch = 4 * time.Second
	// loadInterval is the time between two submissions of the load during an evacuation.
	loadInterval = 20 * time.Millisecond
)

// evacuationKey is the key of the operator's request to evacuate a domain.
func evacuationKey(domain string) string { return "evacuate/" + domain }

func decodeEvacuation(key string) (string, bool, error) {
	domain, ok := strings.CutPrefix(key, evacuationKey(""))
	return domain, ok, nil
}

// domains has the executors of each failure domain of a rig.
var domains = map[string][]string{"a": {"x0", "x1"}, "b": {"x2", "x3"}}

// evacuationRig is a rig with two failure domains and a steady load of short jobs.
type evacuationRig struct {
	*rig
	jobs int
}

func newEvacuationRig(t *testing.T) *evacuationRig {
	t.Helper()
	r := newRig(t)
	r.decode = func(id string, value []byte) (queue.Executor, error) {
		e, err := decodeExecutor(id, value)
		for domain, ids := range domains {
			for _, x := range ids {
				if x == id {
					e.Domain = domain
				}
			}
		}
		return e, err
	}
	r.evacuateWithin = 5 * time.Second
	return &evacuationRig{rig: r}
}

func (r *evacuationRig) evacuate(domain string) {
	r.t.Helper()
	r.record(logs.Operator, evacuationKey(domain), []byte("{}"))
}

func (r *evacuationRig) restore(domain string) {
	r.t.Helper()
	r.record(logs.Operator, evacuationKey(domain), nil)
}

// load submits jobs for the duration.
func (r *evacuationRig) load(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(loadInterval) {
		r.jobs++
		r.submit(rigJob(r.jobs, &jobpb.Step{Count: 2}))
	}
}

// startsIn returns the number of start orders that have reached executors of the domain.
func (r *evacuationRig) startsIn(domain string) int {
	n := 0
	r.calls.edit(func() {
		for _, id := range domains[domain] {
			n += r.calls.startedOn[id]
		}
	})
	return n
}

// checkStarts loads the rig and checks whether tasks start in the domain meanwhile.
func (r *evacuationRig) checkStarts(domain string, d time.Duration, areExpected bool) {
	r.t.Helper()
	before := r.startsIn(domain)
	r.load(d)
	starts := r.startsIn(domain) - before
	assert.Assert(r.t, starts > 0 == areExpected, "%d starts in domain %s", starts, domain)
}

// checkEvacuated checks that nothing starts in the domain once the request has had time to take effect.
func (r *evacuationRig) checkEvacuated(domain string) {
	r.t.Helper()
	r.load(maxEvacuationDelay)
	r.checkStarts(domain, evacuationWatch, false)
}

func (r *evacuationRig) finish() {
	r.t.Helper()
	assert.Equal(r.t, len(r.fleet.Violations()), 0, "%v", r.fleet.Violations())
}

// TestEvacuatedDomainStartsNothing guards against starts in a domain after the operator's request, and against a domain
// that stays unused after the withdrawal.
func TestEvacuatedDomainStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		r.startNodes(3)
		r.checkStarts("a", time.Second, true)
		r.evacuate("a")
		r.checkEvacuated("a")
		r.checkStarts("b", time.Second, true)
		// A repeated request changes nothing.
		r.evacuate("a")
		r.checkEvacuated("a")
		r.restore("a")
		r.checkStarts("a", maxEvacuationDelay, true)
		r.finish()
	})
}

// TestAllDomainsEvacuated checks that nothing starts, that no job is lost and that jobs start after the withdrawal.
func TestAllDomainsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		r.startNodes(3)
		r.evacuate("a")
		r.evacuate("b")
		r.load(maxEvacuationDelay)
		inA, inB := r.startsIn("a"), r.startsIn("b")
		first := r.jobs + 1
		r.load(evacuationWatch)
		assert.Equal(t, r.startsIn("b"), inB)
		r.restore("b")
		time.Sleep(10 * time.Second)
		assert.Equal(t, r.startsIn("a"), inA)
		for id := first; id <= r.jobs; id++ {
			assert.Assert(t, r.calls.starts(jobID(id)) > 0, "job %d has not started", id)
		}
		r.finish()
	})
}

// TestNewLeaderKnowsEvacuations guards against starts by a new leader that has not read the request yet.
func TestNewLeaderKnowsEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		first := r.startNodes(2)
		r.evacuate("a")
		r.load(maxEvacuationDelay)
		before := r.startsIn("a")
		for _, n := range r.nodes {
			n.kill()
		}
		// The instance is new as well: its first read is the one of its first configuration.
		r.start("late")
		assert.Assert(t, first != r.nodes[2])
		r.load(8 * time.Second)
		assert.Assert(t, r.nodes[2].elector.IsLeader(tick.Now()))
		assert.Equal(t, r.startsIn("a"), before)
		r.checkStarts("b", time.Second, true)
		r.finish()
	})
}

// TestEvacuationAfterCompaction checks requests and withdrawals that an instance learns of from a snapshot.
func TestEvacuationAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		r.startNodes(2)
		r.evacuate("a")
		r.log.trim(logs.Operator)
		r.checkEvacuated("a")
		r.restore("a")
		r.log.trim(logs.Operator)
		r.checkStarts("a", maxEvacuationDelay+time.Second, true)
		r.finish()
	})
}

// TestEvacuationDuringConfigurationChange checks a request between configurations that follow one another.
func TestEvacuationDuringConfigurationChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		r.startNodes(2)
		change := func() {
			for range 20 {
				r.record(logs.Operator, "config", []byte("1"))
			}
		}
		change()
		r.evacuate("a")
		change()
		r.checkEvacuated("a")
		r.finish()
	})
}

// logOutage is a period in which a log does not answer.
type logOutage struct{ until atomic.Int64 }

// begin starts the outage.
func (o *logOutage) begin(length time.Duration) { o.until.Store(int64(tick.Now().Add(length))) }

// fail returns false if there is no outage. Otherwise it waits until the caller gives up and returns true.
func (o *logOutage) fail(ctx context.Context) bool {
	if !tick.Now().Before(tick.Time(o.until.Load())) {
		return false
	}
	<-ctx.Done()
	return true
}

// startNodesWithOutage starts two instances with logs of which an outage may begin. wrap returns the log with the
// calls that fail during the outage.
func (r *evacuationRig) startNodesWithOutage(wrap func(l logs.Log, o *logOutage) logs.Log) *logOutage {
	o := &logOutage{}
	r.wrapLog = func(l logs.Log) logs.Log { return wrap(l, o) }
	r.startNodes(2)
	return o
}

// operatorOutage is a log of which the operator's topic cannot be read during the outage.
type operatorOutage struct {
	logs.Log
	outage *logOutage
}

func newOperatorOutage(l logs.Log, o *logOutage) logs.Log { return operatorOutage{l, o} }

// Read implements logs.Log.
func (l operatorOutage) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if t == logs.Operator && l.outage.fail(ctx) {
		return logs.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, t, p, from, wait)
}

// TestEvacuationOutlastsUnreadableTopic checks that the last set stays in force while the operator's topic cannot be
// read.
func TestEvacuationOutlastsUnreadableTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		o := r.startNodesWithOutage(newOperatorOutage)
		r.evacuate("a")
		r.load(maxEvacuationDelay)
		o.begin(12 * time.Second)
		r.checkStarts("a", 12*time.Second, false)
		r.checkStarts("b", time.Second, true)
		r.finish()
	})
}

// TestEvacuationOfCutOffDomain checks a domain whose executors do not respond and return during its evacuation.
func TestEvacuationOfCutOffDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		r.startNodes(2)
		r.load(time.Second)
		setSilent := func(isSilent bool) {
			r.calls.edit(func() {
				for _, id := range domains["a"] {
					r.calls.silent[id] = isSilent
				}
			})
		}
		setSilent(true)
		r.load(time.Second)
		r.evacuate("a")
		r.load(maxEvacuationDelay)
		setSilent(false)
		r.checkEvacuated("a")
		r.restore("a")
		r.checkStarts("a", maxEvacuationDelay+time.Second, true)
		r.finish()
	})
}

// TestWaitingStartOrdersAreWithheld guards against start orders that wait in the process when the request is read, for
// instance for a connection, and are sent afterwards.
func TestWaitingStartOrdersAreWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		r.startNodes(1)
		r.calls.edit(func() { r.calls.sendDelay = 500 * time.Millisecond })
		r.load(time.Second)
		r.evacuate("a")
		// The request is read before the orders have waited.
		time.Sleep(100 * time.Millisecond)
		before := r.startsIn("a")
		r.load(evacuationWatch)
		assert.Equal(t, r.startsIn("a"), before)
		r.calls.edit(func() { r.calls.sendDelay = 0 })
		time.Sleep(5 * time.Second)
		for id := 1; id <= r.jobs; id++ {
			assert.Assert(t, r.calls.starts(jobID(id)) > 0, "job %d has not started", id)
		}
		// An order that was withheld is no reason to avoid its executor.
		r.restore("a")
		r.checkStarts("a", maxEvacuationDelay, true)
		r.finish()
	})
}

// TestEvacuationRequestedWhileTopicIsUnreadable guards against a leader that goes on starting tasks in a domain because
// it alone cannot read the request: it starts nothing until it has read the topic again.
func TestEvacuationRequestedWhileTopicIsUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		o := r.startNodesWithOutage(newOperatorOutage)
		r.load(time.Second)
		const outage = 7 * time.Second
		o.begin(outage)
		// The read that waits for records when the outage begins ends.
		const pendingRead = 1200 * time.Millisecond
		r.load(pendingRead)
		r.evacuate("a")
		r.load(r.evacuateWithin)
		r.checkStarts("a", outage-pendingRead-r.evacuateWithin+evacuationWatch, false)
		r.checkStarts("b", time.Second, true)
		r.finish()
	})
}

// storeOutage is a log that answers no call of any instance during the outage.
type storeOutage struct {
	logs.Log
	outage *logOutage
}

func newStoreOutage(l logs.Log, o *logOutage) logs.Log { return storeOutage{l, o} }

// Append implements logs.Log.
func (l storeOutage) Append(
	ctx context.Context, t logs.Topic, p logs.Part, records []logs.Record, c logs.Condition,
) (logs.Offset, error) {
	if l.outage.fail(ctx) {
		return 0, ctx.Err()
	}
	return l.Log.Append(ctx, t, p, records, c)
}

// Read implements logs.Log.
func (l storeOutage) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if l.outage.fail(ctx) {
		return logs.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, t, p, from, wait)
}

// TestStoreOutageDuringEvacuation checks a store that is down for all while a domain is evacuated: tasks of jobs that
// have started go on being started in the other domain, for as long as the leadership lease permits.
func TestStoreOutageDuringEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		o := r.startNodesWithOutage(newStoreOutage)
		r.evacuate("a")
		r.load(maxEvacuationDelay)
		// The tasks of this job occupy the other domain for longer than the outage.
		r.submit(rigJob(1000, &jobpb.Step{Count: 600}))
		time.Sleep(time.Second)
		// The outage ends before the lease. Its last part is longer than maxEvacuationsAge after the last answer.
		const outage, last = 4400 * time.Millisecond, 600 * time.Millisecond
		o.begin(outage)
		inA := r.startsIn("a")
		time.Sleep(outage - last)
		inB := r.startsIn("b")
		time.Sleep(last)
		assert.Assert(t, r.startsIn("b") > inB, "nothing starts while the store is down")
		r.load(evacuationWatch)
		assert.Equal(t, r.startsIn("a"), inA)
		r.restore("a")
		r.checkStarts("a", maxEvacuationDelay, true)
		r.finish()
	})
}
