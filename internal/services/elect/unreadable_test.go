package elect_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/stand/memlog"
)

// TestClaimBeforeUnreadableRecordIsNotRecognized checks that an instance does not lead with a claim that a record
// follows which it cannot read: that may be the claim of another instance.
func TestClaimBeforeUnreadableRecordIsNotRecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newLog(t)
		first := start(t, log, "a", 1, 0)
		<-first.terms
		second := start(t, log, "b", 1, 0)
		time.Sleep(2 * time.Second)
		second.view.SetFaults(memlog.Faults{LoseAnswers: 1})
		first.stop()
		end := log.Records(logs.Election, 0)
		for log.Records(logs.Election, 0) == end {
			time.Sleep(time.Millisecond)
		}
		at := logs.Offset(end + 1)
		unreadable := []logs.Record{{Value: []byte{0xff}}}
		_, err := log.View().Append(t.Context(), logs.Election, 0, unreadable, logs.Condition{At: &at})
		assert.NilError(t, err)
		time.Sleep(400 * time.Millisecond)
		select {
		case term := <-second.terms:
			assert.Assert(t, term.Epoch != uint64(end)+1, "leads although an unknown record follows its claim")
		default:
		}
	})
}
