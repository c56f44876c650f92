package leader_test

import (
	"context"
	"math"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/fault"
)

// TestSubmissionsDuringOutageAreRefusedAtOnce guards against submissions as probes of a store that resets connections:
// each instance got less than one request a second, so that every one of them was sent, reset and answered as unknown.
func TestSubmissionsDuringOutageAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{Broken: true})
		time.Sleep(200 * time.Millisecond)
		for id := range 12 {
			n := s.instances[id%3]
			started := time.Now()
			err := s.submit(n, id)
			assert.Assert(t, fault.IsErrNotRun(err), "job %d: %v", id, err)
			assert.Assert(t, fault.From(err).RetryAfter > 0)
			assert.Assert(t, time.Since(started) < 20*time.Millisecond, "a refusal took %v", time.Since(started))
			time.Sleep(300 * time.Millisecond)
		}
		s.setFaults(memlog.Faults{})
		time.Sleep(200 * time.Millisecond)
		for id := range 3 {
			s.accept(s.instances[id], 100+id)
		}
		time.Sleep(3 * time.Second)
		for id := range 12 {
			_, known := s.state(first, id)
			assert.Assert(t, !known, "refused job %d is known", id)
		}
	})
}

// TestLostAppendIsRepeatedUntilStoreAnswers guards against the answer 504 for a submission whose append was reset: its
// caller cannot repeat it.
func TestLostAppendIsRepeatedUntilStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		results := make(chan error, len(s.instances))
		s.setFaults(memlog.Faults{Broken: true})
		for id, n := range s.instances {
			go func() { results <- s.submit(n, id) }()
		}
		time.Sleep(2 * time.Second)
		s.setFaults(memlog.Faults{})
		for range s.instances {
			assert.NilError(t, <-results)
		}
		time.Sleep(3 * time.Second)
		s.checkCompleted(first, len(s.instances))
	})
}

// TestCancelIsRepeatedUntilStoreAnswers guards against a cancel that is lost or refused differently from a submission.
func TestCancelIsRepeatedUntilStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
		defer cancel()
		result := make(chan error, 1)
		s.setFaults(memlog.Faults{Broken: true})
		go func() { result <- first.intake.Cancel(ctx, "5c0e7a21d94b36f8") }()
		time.Sleep(time.Second)
		err := first.intake.Cancel(ctx, "5c0e7a21d94b36f9")
		assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
		s.setFaults(memlog.Faults{})
		assert.NilError(t, <-result)
	})
}

// TestLostAppendStaysUnknown guards against a caller that is told that its job will not run, because later appends are
// refused or an answer of the store shows that the record is not there, while the lost append is carried out seconds
// later.
func TestLostAppendStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		result := make(chan error, 1)
		s.setFaults(memlog.Faults{Broken: true, LateAppends: 5 * time.Second})
		started := time.Now()
		go func() { result <- s.submit(first, 0) }()
		time.Sleep(100 * time.Millisecond)
		s.setFaults(memlog.Faults{Down: true})
		err := <-result
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "%v", err)
		assert.Assert(t, time.Since(started) <= callerPatience, "took %v", time.Since(started))
		s.setFaults(memlog.Faults{})
		time.Sleep(7 * time.Second)
		_, known := s.state(first, 0)
		assert.Assert(t, known)
	})
}

// TestRefusedAppendsAreKnown guards against the answer 504 while the store answers each call with 503 or 429: nothing
// was done, so that the caller may repeat the request.
func TestRefusedAppendsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{Down: true})
		longest := time.Duration(0)
		for id := range 12 {
			err := s.submit(s.instances[id%3], id)
			assert.Assert(t, fault.IsErrNotRun(err), "%v", err)
			longest = max(longest, fault.From(err).RetryAfter)
			time.Sleep(300 * time.Millisecond)
		}
		assert.Equal(t, longest, 2*time.Second, "the delay grows with the time for which the store is down")
	})
}

// TestInstanceCutOffFromStoreAndLeader guards against records that an instance sends to a leader that it does not
// reach: their outcome would be unknown.
func TestInstanceCutOffFromStoreAndLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		n := s.others(first)[0]
		n.view.SetFaults(memlog.Faults{Broken: true})
		s.setSilent(first.name, true)
		time.Sleep(100 * time.Millisecond)
		for id := range 20 {
			started := time.Now()
			err := s.submit(n, id)
			assert.Assert(t, fault.IsErrNotRun(err), "job %d: %v", id, err)
			assert.Assert(t, time.Since(started) < 20*time.Millisecond, "a refusal took %v", time.Since(started))
			time.Sleep(150 * time.Millisecond)
		}
	})
}

// TestInstanceCutOffFromStoreForwards guards against refusals by an instance that reaches the leader.
func TestInstanceCutOffFromStoreForwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		n := s.others(first)[0]
		n.view.SetFaults(memlog.Faults{Broken: true})
		time.Sleep(500 * time.Millisecond)
		for id := range 10 {
			s.accept(n, id)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		s.checkCompleted(first, 10)
	})
}

// TestMalformedRecords guards against a malformed message of an instance, or a malformed record, that removes an
// accepted job or takes down the leader.
func TestMalformedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.accept(first, 0)
		huge := s.job(1)
		huge.RepeatCount = math.MaxUint32
		cyclic := s.job(2)
		cyclic.Steps[0].DependsOn = []uint32{1}
		large := s.job(3)
		large.Steps[0].Count = math.MaxUint32
		records := []logs.Record{
			{Key: "j/" + s.job(4).Id, Value: []byte{0xff}},
			{Key: "unknown", Value: []byte{1}},
			{},
			{Key: "c/x", Value: []byte{9}},
			intakeRecord(t, s.job(5).Id, s.job(6)),
		}
		for _, j := range []*jobpb.Job{huge, cyclic, large} {
			records = append(records, intakeRecord(t, j.Id, j))
		}
		client := jobpb.NewJobsProtobufClient("http://"+first.name, &http.Client{Transport: s})
		forwarded := append([]logs.Record{{Key: "j/" + s.job(0).Id}, {Key: "c/" + s.job(0).Id}}, records...)
		for _, r := range forwarded {
			_, err := client.Record(t.Context(), &jobpb.RecordRequest{Key: r.Key, Intake: r.Value})
			assert.ErrorContains(t, err, "invalid_argument", "%q", r.Key)
		}
		_, err := first.view.Append(t.Context(), logs.Intake, 0, records, logs.Condition{})
		assert.NilError(t, err)
		for id := 7; id < 10; id++ {
			s.accept(s.instances[id%3], id)
		}
		time.Sleep(3 * time.Second)
		assert.Assert(t, s.leader() == first)
		for _, id := range []int{0, 7, 8, 9} {
			state, known := s.state(first, id)
			assert.Assert(t, known && state == jobpb.State_STATE_COMPLETED, "job %d: %v", id, state)
		}
	})
}

func intakeRecord(t *testing.T, id string, j *jobpb.Job) logs.Record {
	t.Helper()
	value, err := proto.Marshal(&jobpb.Intake{Job: j})
	assert.NilError(t, err)
	return logs.Record{Key: book.JobKey(id), Value: value}
}

// TestSecondSubmissionOfLostJob guards against a caller that is told that its job will not run, because it has
// submitted it again while the append of the first submission is lost and will be carried out later.
func TestSecondSubmissionOfLostJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, first := newSystemWithLeader(t)
		s.setFaults(memlog.Faults{Broken: true, LateAppends: 6 * time.Second})
		result := make(chan error, 1)
		go func() { result <- s.submit(first, 0) }()
		time.Sleep(500 * time.Millisecond)
		err := s.submit(first, 0)
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "while the first submission is repeated: %v", err)
		err = <-result
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "%v", err)
		err = s.submit(first, 0)
		assert.Assert(t, err != nil && !fault.IsErrNotRun(err), "after the first submission: %v", err)
		err = s.submit(first, 1)
		assert.Assert(t, fault.IsErrNotRun(err), "another job: %v", err)
		s.setFaults(memlog.Faults{})
		time.Sleep(8 * time.Second)
		_, known := s.state(first, 0)
		assert.Assert(t, known)
	})
}
