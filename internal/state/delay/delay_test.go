package delay_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/delay"
)

func TestSumsAreTakenByQueue(t *testing.T) {
	s := delay.New()
	s.Add("b", delay.Stages{Placing: time.Second})
	s.Add("a", delay.Stages{Placing: 10 * time.Millisecond, Recording: 20 * time.Millisecond})
	s.Add("a", delay.Stages{Placing: 30 * time.Millisecond, Ordering: 40 * time.Millisecond})
	list := s.Take()
	assert.Equal(t, len(list), 2)
	assert.Equal(t, string(list[0].Queue), "a")
	assert.Equal(t, list[0].Starts, 2)
	assert.Equal(t, list[0].Mean(), delay.Stages{
		Placing: 20 * time.Millisecond, Recording: 10 * time.Millisecond, Ordering: 20 * time.Millisecond,
	})
	assert.Equal(t, list[0].Longest.Ordering, 40*time.Millisecond)
	assert.Equal(t, list[1].Longest.Placing, time.Second)
	assert.Equal(t, len(s.Take()), 0)
}
