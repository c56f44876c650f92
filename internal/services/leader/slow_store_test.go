package leader_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/fault"
)

const (
	// slowInstances and slowJobs are the entry instances of the first customer and the jobs that it submits in slowFor.
	slowInstances = 35
	slowInterval  = 25 * time.Millisecond
	slowFor       = 6 * time.Second
	slowJobs      = int(slowFor / slowInterval)
	slowAppend    = 60 * time.Millisecond
)

// slowOutcome is what the callers observed, each job being submitted once.
type slowOutcome struct {
	refused, unknown int
	longest          time.Duration
}

// submitWhileSlow submits the jobs at equal intervals over the given instances.
func (s *system) submitWhileSlow(instances []*instance) slowOutcome {
	type result struct {
		err  error
		took time.Duration
	}
	results := make(chan result, slowJobs)
	for id := range slowJobs {
		go func() {
			started := time.Now()
			j := s.job(id)
			j.Steps = []*jobpb.Step{{Count: 1, MilliCpu: 100, MemoryMb: 10, EstimateMs: 400}}
			results <- result{s.acceptInTime(instances[id%len(instances)], j), time.Since(started)}
		}()
		time.Sleep(slowInterval)
	}
	var out slowOutcome
	for range slowJobs {
		r := <-results
		switch {
		case r.err == nil:
			out.longest = max(out.longest, r.took)
		case fault.IsErrNotRun(r.err):
			out.refused++
		default:
			out.unknown++
		}
	}
	return out
}

// TestSlowStoreGetsGroupsOfLeader guards against a collapse under load: each of 35 instances appended its own groups
// and repeated those that got no response in time, while the partition made 16 appends a second, so that submissions
// were answered with 504.
func TestSlowStoreGetsGroupsOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, slowInstances)
		time.Sleep(2 * time.Second)
		s.setFaults(memlog.Faults{PartitionAppendTime: slowAppend})
		out := s.submitWhileSlow(s.instances)
		appends := s.log.PartitionAppends(logs.Intake, 0)
		t.Logf("%+v, %d appends", out, appends)
		assert.Equal(t, out.unknown+out.refused, 0)
		s.setFaults(memlog.Faults{})
		time.Sleep(3 * time.Second)
		s.checkCompleted(s.leader(), slowJobs)
	})
}

// TestSlowStoreWithoutLeader guards against records that wait for a leader that has gone while the store is slow: the
// instances append themselves.
func TestSlowStoreWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{PartitionAppendTime: 3 * slowAppend})
		time.AfterFunc(slowFor/4, first.kill)
		out := s.submitWhileSlow(s.others(first))
		t.Logf("%+v", out)
		assert.Equal(t, out.unknown+out.refused, 0)
	})
}

// TestSlowStoreAndSilentLeader guards against records that wait for a leader that gives no response until their callers
// have gone.
func TestSlowStoreAndSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{PartitionAppendTime: 3 * slowAppend})
		time.AfterFunc(slowFor/4, func() { s.setSilent(first.name, true) })
		out := s.submitWhileSlow(s.others(first))
		t.Logf("%+v", out)
		assert.Equal(t, out.unknown+out.refused, 0)
	})
}
