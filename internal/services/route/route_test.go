package route

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// local is a scheduler that returns the outcomes set by the test.
type local struct {
	outcomes []error
	ids      []ident.Request
}

func (l *local) Do(_ context.Context, r sched.Request) (*execio.Answer, error) {
	l.ids = append(l.ids, r.ID)
	err := l.outcomes[0]
	l.outcomes = l.outcomes[1:]
	if err != nil {
		return nil, err
	}
	return &execio.Answer{Status: http.StatusOK, Body: io.NopCloser(bytes.NewReader(nil))}, nil
}

func (l *local) Load(tick.Time, ident.Service) (free, queued int, acting bool) { return 1, 0, true }

func router(l *local) *Router {
	return New(Options{
		Domain: "d", Local: l, Peers: func(tick.Time) []member.Peer { return nil }, Now: func() tick.Time { return 1 },
		Wall: func() time.Time { return time.Unix(0, 0) },
	})
}

func request(isIdempotent bool) Request {
	return Request{
		Request: sched.Request{Request: execio.Request{ID: "r", Header: http.Header{}}}, Idempotent: isIdempotent,
		RetryPercent: 100,
	}
}

var (
	errFailed = fault.New(fault.CodeBackend, fault.Unknown, "failed")
	errNotRun = fault.New(fault.CodeNotSent, fault.NotRun, "not sent")
)

// TestEachAttemptHasItsOwnID guards against the abort of a failed attempt ending the next one at the same executor.
func TestEachAttemptHasItsOwnID(t *testing.T) {
	l := &local{outcomes: []error{errFailed, nil}}
	answer, err := router(l).Do(context.Background(), request(true))
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())
	assert.Equal(t, len(l.ids), 2)
	assert.Assert(t, l.ids[0] != l.ids[1], "both attempts are %s", l.ids[0])
}

func TestNonIdempotentIsRetriedOnlyIfNotRun(t *testing.T) {
	l := &local{outcomes: []error{errFailed, nil}}
	_, err := router(l).Do(context.Background(), request(false))
	assert.Assert(t, fault.IsErrCode(err, fault.CodeBackend))
	l = &local{outcomes: []error{errNotRun, nil}}
	_, err = router(l).Do(context.Background(), request(false))
	assert.NilError(t, err)
}

// TestNoOwnerCodeWhenAllOwnersRefuse checks that callers get the code no-owner, not the code with which the last owner
// rejected the request.
func TestNoOwnerCodeWhenAllOwnersRefuse(t *testing.T) {
	l := &local{}
	for range 1000 {
		l.outcomes = append(l.outcomes, errNotRun)
	}
	_, err := router(l).Do(context.Background(), request(false))
	assert.Assert(t, fault.IsErrCode(err, fault.CodeNoOwner))
	assert.Assert(t, fault.IsErrNotRun(err))
	assert.Assert(t, fault.From(err).RetryAfter > 0)
}

func TestRetriesAreBounded(t *testing.T) {
	l := &local{}
	for range 1000 {
		l.outcomes = append(l.outcomes, errFailed)
	}
	r := router(l)
	for range 100 {
		req := request(true)
		req.RetryPercent = 10
		_, _ = r.Do(context.Background(), req)
	}
	assert.Assert(t, len(l.ids) <= 100+10+5, "%d attempts for 100 requests", len(l.ids))
}
