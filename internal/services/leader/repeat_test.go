package leader_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxRepeats is how often a caller repeats a refused submission.
	maxRepeats = 4
	outageFor  = 7 * time.Second
	// recoveryTime is the longest time until an instance has noticed the end of an outage.
	recoveryTime = 150 * time.Millisecond
	// outageJobs are submitted from 1 s before the outage on.
	outageJobs = int((outageFor + 2*time.Second) / slowInterval)
)

// outageCounts is how the submissions of an outage ended.
type outageCounts struct {
	mu                         sync.Mutex
	accepted, refused, unknown int
	// refusedIDs are the jobs of which the caller was told that they will not run.
	refusedIDs []int
}

func (c *outageCounts) add(id int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.accepted++
	case fault.IsErrNotRun(err):
		c.refused++
		c.refusedIDs = append(c.refusedIDs, id)
	default:
		c.unknown++
	}
}

// submitWithRepeats submits jobs over an outage that begins after 1 s, each at another instance at each repeat.
func (s *system) submitWithRepeats(f memlog.Faults) *outageCounts {
	time.AfterFunc(time.Second, func() { s.setFaults(f) })
	time.AfterFunc(time.Second+outageFor, func() { s.setFaults(memlog.Faults{}) })
	counts := &outageCounts{}
	var wg sync.WaitGroup
	for id := range outageJobs {
		wg.Go(func() {
			j := s.job(id)
			j.Steps = []*jobpb.Step{{Count: 1, MilliCpu: 100, MemoryMb: 10, EstimateMs: 400}}
			var err error
			for k := range maxRepeats + 1 {
				err = s.acceptInTime(s.instances[(id+k)%len(s.instances)], j)
				if err == nil || !fault.IsErrNotRun(err) {
					break
				}
				tick.Pause(s.t.Context(), fault.From(err).RetryAfter)
			}
			counts.add(id, err)
		})
		time.Sleep(slowInterval)
	}
	wg.Wait()
	return counts
}

// TestRepeatsReachOverOutage guards against callers that lose their jobs in an outage of the store of 7 s, because they
// are told that the outcome is unknown or come back too early.
func TestRepeatsReachOverOutage(t *testing.T) {
	// The jobs of unknown outcome are those that are submitted in the time until the first read of their instance fails,
	// and if no call is answered, those until the last response is too old for sending an append.
	const soon, late = 1, int(300 * time.Millisecond / slowInterval)
	for name, c := range map[string]struct {
		faults     memlog.Faults
		maxUnknown int
	}{
		"resets connections":               {memlog.Faults{Broken: true}, soon},
		"resets connections, late appends": {memlog.Faults{Broken: true, LateAppends: 4 * time.Second}, soon},
		"refuses":                          {memlog.Faults{Down: true}, 0},
		"answers nothing":                  {memlog.Faults{Frozen: true}, late},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, slowInstances)
				time.Sleep(2 * time.Second)
				counts := s.submitWithRepeats(c.faults)
				t.Logf("accepted %d, refused %d %v, unknown %d", counts.accepted, counts.refused, counts.refusedIDs, counts.unknown)
				// A job that is refused as the outage begins and told to come back after 1 s has its last repeat 7 s later,
				// when the instances have not read the store again yet.
				for _, id := range counts.refusedIDs {
					assert.Assert(t, time.Duration(id)*slowInterval <= time.Second+recoveryTime, "job %d", id)
				}
				assert.Assert(t, counts.refused <= 2)
				assert.Assert(t, counts.unknown <= c.maxUnknown)
				time.Sleep(5 * time.Second)
				for _, id := range counts.refusedIDs {
					_, known := s.state(s.leader(), id)
					assert.Assert(t, !known, "refused job %d is known", id)
				}
			})
		})
	}
}
