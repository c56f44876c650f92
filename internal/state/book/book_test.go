package book_test

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
)

// TestHasSubmissionOnlyOfAppliedRecords guards against a record that is acknowledged because another one of its job is
// stored.
func TestHasSubmissionOnlyOfAppliedRecords(t *testing.T) {
	const id = "0000000000000001"
	b := book.New()
	_, err := b.Intake(logs.Record{Key: book.CancelKey(id), Value: []byte("x")})
	assert.NilError(t, err)
	assert.Assert(t, b.HasSubmission(book.CancelKey(id)), "the cancellation of an unknown job")
	assert.Assert(t, !b.HasSubmission(book.JobKey(id)), "only the cancellation is stored")
	const other = "0000000000000002"
	value, err := proto.Marshal(&jobpb.Intake{Job: &jobpb.Job{Id: other}})
	assert.NilError(t, err)
	_, err = b.Intake(logs.Record{Key: book.JobKey(other), Value: value})
	assert.NilError(t, err)
	assert.Assert(t, b.HasSubmission(book.JobKey(other)))
	assert.Assert(t, !b.HasSubmission(book.CancelKey(other)), "only the job is stored")
	assert.Assert(t, !b.HasSubmission("x/"+other))
}
