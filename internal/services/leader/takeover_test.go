package leader_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
)

const (
	takeovers = 30
	// submitInterval is the time between two submissions around a change of leader.
	submitInterval = 15 * time.Millisecond
	// submitTime is how long jobs are submitted. The leader is lost in the middle.
	submitTime = 6 * time.Second
)

// submitter submits jobs and checks that they start.
type submitter struct {
	*rig
	rnd *rand.Rand
	// due has the time of submission of the jobs that have not started.
	due map[string]time.Time
}

// submitNext submits a job. Some jobs are cancelled before their record arrives, and some submissions are repeated.
func (s *submitter) submitNext(id int) {
	if s.rnd.IntN(20) == 0 {
		s.record(logs.Intake, book.CancelKey(jobID(id)), []byte{1})
	} else {
		s.due[jobID(id)] = time.Now()
	}
	s.submit(rigJob(id, &jobpb.Step{}))
	if s.rnd.IntN(10) == 0 {
		s.submit(rigJob(id, &jobpb.Step{}))
	}
}

// check fails if a job has been due for too long.
func (s *submitter) check() {
	s.t.Helper()
	for job, at := range s.due {
		if s.calls.starts(job) > 0 {
			delete(s.due, job)
			continue
		}
		assert.Assert(s.t, time.Since(at) <= maxDue, "job %s has been due for %v", job, time.Since(at))
	}
}

// checkTakeover submits jobs while the leader is lost at a random time.
func checkTakeover(t *testing.T, seed uint64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := &submitter{rig: newRig(t), rnd: rnd, due: map[string]time.Time{}}
		lose := s.startNodes(3).loseFunc(rnd.IntN(2) == 0)
		timer := time.AfterFunc(submitTime/2+time.Duration(rnd.Int64N(int64(time.Second))), lose)
		defer timer.Stop()
		isTrimmed := rnd.IntN(2) == 0
		began := time.Now()
		for id := 0; time.Since(began) < submitTime; id++ {
			if isTrimmed && rnd.IntN(40) == 0 {
				s.log.trim(logs.Intake)
				s.log.trim(logs.Progress)
			}
			s.submitNext(id)
			time.Sleep(submitInterval)
			s.check()
		}
		time.Sleep(maxDue)
		s.check()
		assert.Equal(t, len(s.due), 0)
		assert.Equal(t, len(s.fleet.Violations()), 0, "%v", s.fleet.Violations())
	})
}

// loseFunc returns a function that ends the leadership of the instance, as planned or without notice.
func (n *rigNode) loseFunc(isPlanned bool) func() {
	if isPlanned {
		return n.elector.Resign
	}
	return n.kill
}

// TestJobsAcceptedAroundTakeoverStart checks jobs that are accepted while the leader changes, with repeated
// submissions, records that are no longer retained, and cancellations before the job.
func TestJobsAcceptedAroundTakeoverStart(t *testing.T) {
	for seed := range uint64(takeovers) {
		checkTakeover(t, seed)
	}
}
