package replic_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/services/replic"
	"github.com/ibischute/ibischute/internal/stand/memlog"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/tick"
)

// appendFunc adds a record to a topic, or the removal of a key if the message is nil.
type appendFunc func(t logs.Topic, key string, m proto.Message)

// startReplica runs a replica that follows the progress topic or not.
func startReplica(t *testing.T, follows bool) (*replic.Replica, appendFunc) {
	t.Helper()
	t.Cleanup(tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) }))
	log := memlog.New(rand.New(rand.NewPCG(1, 2)))
	r := replic.New(replic.Options{
		Log: log.View(), FollowsProgress: func() bool { return follows }, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	writer := log.View()
	return r, func(topic logs.Topic, key string, m proto.Message) {
		t.Helper()
		var value []byte
		if m != nil {
			var err error
			value, err = proto.Marshal(m)
			assert.NilError(t, err)
		}
		_, err := writer.Append(t.Context(), topic, 0, []logs.Record{{Key: key, Value: value}}, logs.Condition{})
		assert.NilError(t, err)
	}
}

func addJob(appendRecord appendFunc) {
	appendRecord(logs.Intake, book.JobKey("a"), &jobpb.Intake{Job: &jobpb.Job{Id: "a"}})
	appendRecord(logs.Progress, book.ProgressKey("a"), &jobpb.Progress{Job: "a", State: jobpb.State_STATE_COMPLETED})
}

func TestFollowerReadsProgressAtIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, appendRecord := startReplica(t, true)
		addJob(appendRecord)
		time.Sleep(3 * time.Second)
		state, ok := r.Job("a")
		assert.Assert(t, ok)
		assert.Equal(t, state, jobpb.State_STATE_COMPLETED)
	})
}

func TestOtherReadsProgressOnRefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, appendRecord := startReplica(t, false)
		addJob(appendRecord)
		time.Sleep(3 * time.Second)
		state, ok := r.Job("a")
		assert.Assert(t, ok, "every replica follows the intake topic")
		assert.Equal(t, state, jobpb.State_STATE_QUEUED)
		assert.NilError(t, r.RefreshProgress(t.Context()))
		state, _ = r.Job("a")
		assert.Equal(t, state, jobpb.State_STATE_COMPLETED)
	})
}

// TestSnapshotForgetsRemovedExecutors checks a replica that reads the progress topic again after a long time, when
// executors that it knows were removed. A leader would wait for them during its takeover.
func TestSnapshotForgetsRemovedExecutors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, appendRecord := startReplica(t, false)
		appendRecord(logs.Progress, book.RosterKey("gone"), &jobpb.Roster{Executor: "gone"})
		appendRecord(logs.Progress, book.RosterKey("kept"), &jobpb.Roster{Executor: "kept"})
		assert.NilError(t, r.CatchUp(t.Context()))
		appendRecord(logs.Progress, book.RosterKey("gone"), nil)
		time.Sleep(time.Minute)
		assert.NilError(t, r.CatchUp(t.Context()))
		var roster []string
		r.Visit(func(b *book.Book) { b.Roster(func(x *jobpb.Roster) { roster = append(roster, x.Executor) }) })
		assert.DeepEqual(t, roster, []string{"kept"})
	})
}

// TestRefreshesDoNotQueueUp checks callers that ask for states while the store does not respond.
func TestRefreshesDoNotQueueUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) }))
		view := memlog.New(rand.New(rand.NewPCG(1, 2))).View()
		view.SetFaults(memlog.Faults{Unresponsive: true})
		r := replic.New(replic.Options{Log: view, Logger: zerolog.Nop()})
		started := time.Now()
		ended := make(chan error, 20)
		for range cap(ended) {
			go func() { ended <- r.RefreshProgress(t.Context()) }()
		}
		failed := 0
		for range cap(ended) {
			if err := <-ended; err != nil {
				failed++
			}
		}
		assert.Equal(t, failed, 1, "one caller tries to read")
		assert.Assert(t, time.Since(started) < 2*time.Second, "took %v", time.Since(started))
	})
}
