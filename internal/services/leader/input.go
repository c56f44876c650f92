package leader

import (
	"unicode/utf8"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
)

// decodeExecutor decodes the entry of an executor. An entry whose id is not valid UTF-8, or too long for the key of a
// roster record, is an error, because no record can hold the id.
func (t *term) decodeExecutor(id string, value []byte) (queue.Executor, error) {
	switch {
	case !utf8.ValidString(id):
		return queue.Executor{}, fault.New(fault.CodeBadRequest, fault.NotRun, "id of an executor is not valid UTF-8")
	case len(book.RosterKey(id)) > logs.MaxKeyBytes:
		return queue.Executor{}, fault.New(fault.CodeBadRequest, fault.NotRun, "id of an executor is too long")
	}
	return t.opts.Decode(id, value)
}

// dropInvalidCheckpoints removes the checkpoints that are not valid UTF-8 from the lists of an executor. No record can
// hold them, and a start order could not return them unchanged. The tasks keep their previous checkpoints.
func (t *term) dropInvalidCheckpoints(executor string, l *orders.Lists) {
	dropped := 0
	drop := func(checkpoint *string) {
		if !utf8.ValidString(*checkpoint) {
			*checkpoint = ""
			dropped++
		}
	}
	for i := range l.Running {
		drop(&l.Running[i].Checkpoint)
	}
	for i := range l.Ended {
		drop(&l.Ended[i].Checkpoint)
	}
	if dropped > 0 {
		t.opts.Logger.Warn().Str("executor", executor).Int("checkpoints", dropped).Msg("invalid-checkpoints-dropped")
	}
}
