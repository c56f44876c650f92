package expiry_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/state/expiry"
	"github.com/ibischute/ibischute/pkg/tick"
)

// TestEndsAreNeverReadEarlier guards against a successor that counts a lease as expired before its leader does.
func TestEndsAreNeverReadEarlier(t *testing.T) {
	sent := tick.Time(time.Minute)
	ends := expiry.Times{
		"expired": sent.Add(-time.Second),
		"short":   sent.Add(time.Microsecond),
		"long":    sent.Add(6170*time.Millisecond + time.Nanosecond),
	}
	received := sent.Add(30 * time.Millisecond)
	got := expiry.Read(received, ends.Messages(sent))
	assert.Equal(t, len(got), len(ends))
	for id, at := range ends {
		latest := max(sent, at).Add(received.Sub(sent) + time.Millisecond)
		assert.Check(t, !got[id].Before(at), "%s ends at %v instead of %v", id, got[id], at)
		assert.Check(t, !got[id].After(latest), "%s ends at %v instead of %v", id, got[id], at)
	}
}

// TestMalformedEndIsIgnored guards against a time that overflows, which would count as expired.
func TestMalformedEndIsIgnored(t *testing.T) {
	list := []*jobpb.ExecutorLease{
		{Executor: "a", LeftMs: math.MaxUint64},
		{Executor: "b", LeftMs: math.MaxUint64 / 1_000_000},
	}
	assert.Equal(t, len(expiry.Read(tick.Time(time.Minute), list)), 0)
}

// TestTooManyEndsExceedRecord guards against a resignation that is not stored because it states too much.
func TestTooManyEndsExceedRecord(t *testing.T) {
	const recordBytes = 256 << 10
	for _, idBytes := range []int{1, 12, 100} {
		for _, executors := range []int{100, 890, 3000, 20_000} {
			ends := expiry.Times{}
			for i := range executors {
				ends[fmt.Sprintf("%d%s", i, strings.Repeat("x", idBytes))] = tick.Time(time.Hour)
			}
			lead := &jobpb.Lead{ExecutorLeases: ends.Messages(tick.Time(time.Minute))}
			assert.Check(t, proto.Size(lead) < recordBytes/2+executors, "%d executors: %d", executors, proto.Size(lead))
			isStated := len(lead.ExecutorLeases) == executors
			assert.Check(t, isStated || executors > 890, "%d executors with ids of %d bytes", executors, idBytes)
		}
	}
}
