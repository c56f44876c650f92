package share_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/ibischute/ibischute/internal/state/share"
)

const third = 1.0 / 3

// divide gives out units of both sizes for some rounds, and returns the share of the smaller side.
func divide(b *share.Balance, size, othersSize float64) float64 {
	took, others := 0.0, 0.0
	for range 3000 {
		b.Begin(true)
		if b.IsDue() {
			n := float64(b.Units(size)) * size
			b.Took(n)
			took += n
			continue
		}
		b.OthersTook(othersSize)
		others += othersSize
	}
	return took / (took + others)
}

// TestShareIsKeptForAllSizes guards against a side that takes more than its share because its units are larger.
func TestShareIsKeptForAllSizes(t *testing.T) {
	for _, sizes := range [][2]float64{{13, 21}, {21, 13}, {1, 64}, {64, 1}, {8, 8}} {
		got := divide(share.New(third, 256), sizes[0], sizes[1])
		assert.Check(t, got > third-0.02 && got < third+0.02, "%v: %.3f", sizes, got)
	}
}

// TestOwedIsBounded guards against a side that takes everything after it could use nothing for long.
func TestOwedIsBounded(t *testing.T) {
	b := share.New(third, 100)
	for range 1000 {
		b.OthersTook(50)
	}
	assert.Equal(t, b.Units(11), 14)
	for range 1000 {
		b.Took(50)
	}
	for range 6 {
		assert.Assert(t, !b.IsDue())
		b.OthersTook(50.1)
	}
	assert.Assert(t, b.IsDue())
}

// TestNothingIsOwedWithoutWait guards against a share that is saved up while nothing waits for it, and against a debt
// that is forgotten then.
func TestNothingIsOwedWithoutWait(t *testing.T) {
	b := share.New(third, 1000)
	b.OthersTook(300)
	b.Begin(false)
	assert.Equal(t, b.Units(10), 1)
	b.Took(30)
	b.Begin(false)
	assert.Equal(t, b.Units(10), 0)
}

// TestUnitsWithoutSize guards against a division by the size of a unit that takes nothing.
func TestUnitsWithoutSize(t *testing.T) {
	assert.Assert(t, share.New(third, 1).Units(0) > 1000)
}
