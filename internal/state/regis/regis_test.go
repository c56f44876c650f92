package regis_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/regis"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// steps are what happens to a registration.
type steps []func(r *regis.Registration)

func entryOf(startedMS, sequence int64) queue.Executor {
	return queue.Executor{ID: "x", StartedMS: startedMS, Sequence: sequence}
}

// ownOf returns the sequence of the entry of the process; 0 if none is known.
func ownOf(r *regis.Registration) int64 {
	if e, ok := r.Own(); ok {
		return e.Sequence
	}
	return 0
}

// TestOnlyEntryOfProcessIsItsOwn checks each order in which entries and lists of processes can be read.
func TestOnlyEntryOfProcessIsItsOwn(t *testing.T) {
	read := func(startedMS, sequence int64) func(r *regis.Registration) {
		return func(r *regis.Registration) { r.Read(1, entryOf(startedMS, sequence)) }
	}
	identify := func(startedMS int64) func(r *regis.Registration) {
		return func(r *regis.Registration) { r.Identify(startedMS) }
	}
	for name, c := range map[string]struct {
		events        steps
		own, estimate int64
		isNewestOwn   bool
	}{
		"nothing":                 {},
		"entry before lists":      {steps{read(7, 1)}, 1, 1, true},
		"lists before entry":      {steps{identify(7)}, 0, 0, false},
		"restart before entry":    {steps{read(7, 1), identify(9)}, 0, 1, false},
		"entry before restart":    {steps{read(7, 1), identify(7), read(9, 2)}, 1, 1, false},
		"entry, then restart":     {steps{read(7, 1), identify(7), read(9, 2), identify(9)}, 2, 2, true},
		"late entry":              {steps{read(9, 2), identify(9), read(7, 1)}, 2, 2, false},
		"late entry, other next":  {steps{read(9, 2), identify(9), read(7, 1), identify(11)}, 0, 1, false},
		"back to earlier start":   {steps{read(9, 2), identify(9), identify(7)}, 0, 2, false},
		"lists without start":     {steps{read(9, 2), identify(9), identify(0)}, 2, 2, true},
		"entry without start":     {steps{read(0, 2), identify(9)}, 2, 2, true},
		"rewritten":               {steps{identify(9), read(9, 2), read(9, 3)}, 3, 3, true},
		"two restarts, one entry": {steps{read(7, 1), identify(7), identify(9), identify(11), read(9, 2)}, 0, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &regis.Registration{}
			for _, apply := range c.events {
				apply(r)
			}
			assert.Equal(t, ownOf(r), c.own)
			assert.Equal(t, r.Estimate().Sequence, c.estimate)
			assert.Equal(t, r.IsNewestOwn(), c.isNewestOwn)
		})
	}
}

// TestAgeIsThatOfTheWrite checks that reading an entry again does not make it younger.
func TestAgeIsThatOfTheWrite(t *testing.T) {
	at := func(d time.Duration) tick.Time { return tick.Time(time.Hour + d) }
	r := &regis.Registration{}
	r.Identify(7)
	r.Read(at(0), entryOf(7, 1))
	r.Read(at(time.Second), entryOf(7, 1))
	assert.Equal(t, r.Age(at(3*time.Second)), 3*time.Second)
	r.Read(at(2*time.Second), entryOf(7, 2))
	assert.Equal(t, r.Age(at(3*time.Second)), time.Second)
	r.Read(at(3*time.Second), entryOf(9, 1))
	assert.Equal(t, r.Age(at(3*time.Second)), time.Second, "the entry of another process")
}
