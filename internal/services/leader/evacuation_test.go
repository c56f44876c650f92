package leader_test

import (
	"context"
	"strings"
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

// operatorOutage is a log of which the operator's topic cannot be read while the outage lasts.
type operatorOutage struct {
	logs.Log
	until *tick.Time
}

// Read implements logs.Log.
func (l operatorOutage) Read(
	ctx context.Context, t logs.Topic, p logs.Part, from logs.Offset, wait time.Duration,
) (logs.Page, error) {
	if t == logs.Operator && tick.Now().Before(*l.until) {
		<-ctx.Done()
		return logs.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, t, p, from, wait)
}

// TestEvacuationOutlastsUnreadableTopic checks that the last set stays in force while the operator's topic cannot be
// read.
func TestEvacuationOutlastsUnreadableTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newEvacuationRig(t)
		var until tick.Time
		r.wrapLog = func(l logs.Log) logs.Log { return operatorOutage{l, &until} }
		r.startNodes(2)
		r.evacuate("a")
		r.load(maxEvacuationDelay)
		until = tick.Now().Add(12 * time.Second)
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
