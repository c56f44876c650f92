package doubt

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/pkg/tick"
)

func TestKeysExpire(t *testing.T) {
	now := tick.Time(time.Hour)
	s := New(10, time.Minute)
	s.Add(now, "a")
	s.Add(now.Add(30*time.Second), "a")
	s.Add(now.Add(30*time.Second), "b")
	s.Remove("b")
	assert.Assert(t, s.Has(now.Add(80*time.Second), "a"), "the key was renewed")
	assert.Assert(t, !s.Has(now.Add(80*time.Second), "b"))
	assert.Assert(t, !s.Has(now.Add(90*time.Second), "a"))
	assert.Equal(t, len(s.until)+len(s.order), 0)
}

// TestBounded guards against memory that grows with the submissions of a long outage.
func TestBounded(t *testing.T) {
	now := tick.Time(time.Hour)
	s := New(100, time.Minute)
	for i := range 1000 {
		s.Add(now, strconv.Itoa(i))
	}
	assert.Assert(t, len(s.until) <= 100 && len(s.order) <= 100)
	assert.Assert(t, s.Has(now, "999") && !s.Has(now, "0"))
}
