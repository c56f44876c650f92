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

const keep = time.Minute

func begin(t *testing.T, s *Store, key string) *wire.Intent {
	t.Helper()
	in, isNew, err := s.Begin(1, "k", key, keep)
	assert.NilError(t, err)
	assert.Assert(t, isNew)
	return in
}

func TestSecondBeginMeetsTheFirst(t *testing.T) {
	s := New(10)
	begin(t, s, "f")
	in, isNew, err := s.Begin(2, "k", "f", keep)
	assert.NilError(t, err)
	assert.Assert(t, !isNew)
	assert.Equal(t, in.GetPhase(), wire.IntentPhase_INTENT_PHASE_STARTED)
	_, _, err = s.Begin(2, "k", "another request", keep)
	assert.Assert(t, fault.IsErrCode(err, fault.CodeConflict))
}

func TestProvedNotRunMayStartAgain(t *testing.T) {
	s := New(10)
	begin(t, s, "f")
	s.Advance(2, "k", wire.IntentPhase_INTENT_PHASE_NOT_RUN, nil, keep)
	in := begin(t, s, "f")
	assert.Equal(t, in.GetEpoch(), uint64(3))
}

// TestTwoWritersOfOneEpoch is a new owner that does not know the record of the one before.
func TestTwoWritersOfOneEpoch(t *testing.T) {
	replica, before, after := New(10), New(10), New(10)
	before.SetWriter("a/1")
	after.SetWriter("b/1")
	assert.Assert(t, replica.Merge(1, begin(t, before, "f"), keep) == nil)
	known := replica.Merge(1, begin(t, after, "f"), keep)
	assert.Assert(t, known != nil, "the new owner must learn that the key was started before")
	assert.Equal(t, known.GetWriter(), "a/1")
}

func TestFullStoreRefusesNewKeysAndLosesNone(t *testing.T) {
	s := New(1)
	begin(t, s, "f")
	_, _, err := s.Begin(1, "other", "f", keep)
	assert.Assert(t, fault.IsErrNotRun(err))
	_, ok := s.Get(tick.Time(1).Add(keep)-1, "k")
	assert.Assert(t, ok)
	_, ok = s.Get(tick.Time(1).Add(keep), "k")
	assert.Assert(t, !ok, "kept for the retention only")
}

// BenchmarkBegin measures the memory of one kept key with an answer of 200 bytes.
func BenchmarkBegin(b *testing.B) {
	s := New(b.N + 1)
	b.ReportAllocs()
	for i := range b.N {
		key := ident.IdempotencyKey("tenant-17", "invoice-"+strconv.Itoa(i))
		_, _, _ = s.Begin(1, key, "0123456789abcdef0123456789abcdef", keep)
		s.Advance(1, key, wire.IntentPhase_INTENT_PHASE_ANSWERED, &wire.Answer{Status: 200, Body: make([]byte, 200)}, keep)
	}
}
