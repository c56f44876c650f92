package replic_test

import (
	"context"
	"math/rand/v2"
	"strconv"
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
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// pageRecords is the number of records on one page of the newest records, pageTime the time that a page takes.
	pageRecords = 500
	pageTime    = 30 * time.Millisecond
	// historyJobs is the number of jobs of which there are records.
	historyJobs = 25_000
	// maxCatchUp is the longest time that an instance may take to read the records.
	maxCatchUp = 10 * time.Second
)

// pagedLog reads the newest records page by page.
type pagedLog struct{ logs.Log }

// Newest implements logs.Log.
func (l pagedLog) Newest(ctx context.Context, t logs.Topic, p logs.Part) ([]logs.Record, logs.Offset, error) {
	records, next, err := l.Log.Newest(ctx, t, p)
	for range len(records) / pageRecords {
		tick.Pause(ctx, pageTime)
	}
	if ctx.Err() != nil {
		return nil, 0, fault.New(fault.CodeUnknownOutcome, fault.Unknown, "no answer in time")
	}
	return records, next, err
}

// TestCatchUpReadsLongHistory checks an instance that starts when there are records of many jobs, and the store needs
// more time for all pages than for a single call.
func TestCatchUpReadsLongHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		t.Cleanup(tick.SetSource(func() tick.Time { return tick.Time(time.Now().UnixNano()) }))
		view := memlog.New(rand.New(rand.NewPCG(1, 2))).View()
		var records []logs.Record
		for i := range historyJobs {
			id := strconv.Itoa(i)
			value, err := proto.Marshal(&jobpb.Intake{Job: &jobpb.Job{Id: id}})
			assert.NilError(t, err)
			records = append(records, logs.Record{Key: book.JobKey(id), Value: value})
		}
		_, err := view.Append(t.Context(), logs.Intake, 0, records, logs.Condition{})
		assert.NilError(t, err)
		r := replic.New(replic.Options{Log: pagedLog{view}, Logger: zerolog.Nop()})
		started := time.Now()
		for err = r.CatchUp(t.Context()); err != nil && time.Since(started) < maxCatchUp; err = r.CatchUp(t.Context()) {
			time.Sleep(10 * time.Millisecond)
		}
		assert.NilError(t, err)
	})
}
