package tail_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/tail"
	"github.com/ibischute/ibischute/internal/stand/memlog"
)

func appendKeys(t *testing.T, v *memlog.View, keys ...string) {
	t.Helper()
	for _, k := range keys {
		records := []logs.Record{{Key: k, Value: []byte("v")}}
		_, err := v.Append(t.Context(), logs.Backends, 0, records, logs.Condition{})
		assert.NilError(t, err)
	}
}

func TestReadsNewestThenLaterRecords(t *testing.T) {
	view := memlog.New(rand.New(rand.NewPCG(1, 1))).View()
	appendKeys(t, view, "a", "a", "b")
	tl := tail.New(view, logs.Backends, 0)
	b, err := tl.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, b.IsSnapshot && b.IsAtEnd)
	assert.Equal(t, len(b.Records), 2)
	appendKeys(t, view, "a")
	b, err = tl.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, !b.IsSnapshot && b.IsAtEnd)
	assert.Equal(t, len(b.Records), 1)
}

func TestRereadsNewestAfterTrim(t *testing.T) {
	log := memlog.New(rand.New(rand.NewPCG(1, 1)))
	view := log.View()
	tl := tail.New(view, logs.Backends, 0)
	_, err := tl.Read(t.Context(), 0)
	assert.NilError(t, err)
	appendKeys(t, view, "a", "b", "b")
	log.Trim(logs.Backends, 0)
	view.SetFaults(memlog.Faults{Down: true})
	_, err = tl.Read(t.Context(), 0)
	assert.Assert(t, err != nil)
	view.SetFaults(memlog.Faults{})
	b, err := tl.Read(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, b.IsSnapshot)
	assert.Equal(t, b.Trimmed.First, logs.Offset(3))
	assert.Equal(t, len(b.Records), 2)
}
