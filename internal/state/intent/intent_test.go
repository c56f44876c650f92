package intent

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const retention = time.Minute

func begin(t *testing.T, s *Store, fingerprint string) *wire.Intent {
	t.Helper()
	in, isNew, err := s.Begin(1, "k", fingerprint, retention)
	assert.NilError(t, err)
	assert.Assert(t, isNew)
	return in
}

func TestSecondBeginReturnsStartedState(t *testing.T) {
	s := New(10)
	begin(t, s, "f")
	in, isNew, err := s.Begin(2, "k", "f", retention)
	assert.NilError(t, err)
	assert.Assert(t, !isNew)
	assert.Equal(t, in.GetPhase(), wire.IntentPhase_INTENT_PHASE_STARTED)
	_, _, err = s.Begin(2, "k", "another request", retention)
	assert.Assert(t, fault.IsErrCode(err, fault.CodeConflict))
}

func TestKeyProvedNotRunMayStartAgain(t *testing.T) {
	s := New(10)
	begin(t, s, "f")
	s.Advance(2, "k", wire.IntentPhase_INTENT_PHASE_NOT_RUN, nil, retention)
	in := begin(t, s, "f")
	assert.Equal(t, in.GetEpoch(), uint64(3))
}

// TestMergeDetectsSecondWriterOfEpoch guards against a new owner that starts a key again because it has no record of
// the start by the previous owner.
func TestMergeDetectsSecondWriterOfEpoch(t *testing.T) {
	replica, before, after := New(10), New(10), New(10)
	before.SetWriter("a/1")
	after.SetWriter("b/1")
	assert.Assert(t, replica.Merge(1, begin(t, before, "f"), retention) == nil)
	known := replica.Merge(1, begin(t, after, "f"), retention)
	assert.Assert(t, known != nil, "the new owner must learn that the key was started before")
	assert.Equal(t, known.GetWriter(), "a/1")
}

func TestFullStoreRejectsNewKeysAndKeepsOthers(t *testing.T) {
	s := New(1)
	begin(t, s, "f")
	_, _, err := s.Begin(1, "other", "f", retention)
	assert.Assert(t, fault.IsErrNotRun(err))
	_, ok := s.Get(tick.Time(1).Add(retention)-1, "k")
	assert.Assert(t, ok)
	_, ok = s.Get(tick.Time(1).Add(retention), "k")
	assert.Assert(t, !ok, "the key expires after its retention")
}

// BenchmarkBegin measures the memory of one stored key with an answer of 200 bytes.
func BenchmarkBegin(b *testing.B) {
	s := New(b.N + 1)
	b.ReportAllocs()
	for i := range b.N {
		key := ident.IdempotencyKey("tenant-17", "invoice-"+strconv.Itoa(i))
		_, _, _ = s.Begin(1, key, "0123456789abcdef0123456789abcdef", retention)
		s.Advance(1, key, wire.IntentPhase_INTENT_PHASE_ANSWERED,
			&wire.Answer{Status: 200, Body: make([]byte, 200)}, retention)
	}
}
