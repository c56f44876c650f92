package cover

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// plainNext is Next by a loop over all entries.
func plainNext(list []Amounts, first int, need Amounts) int {
	for i := first; i < len(list); i++ {
		if list[i].covers(&need) {
			return i
		}
	}
	return len(list)
}

func randomAmounts(rnd *rand.Rand) Amounts {
	a := Amounts{}
	for i := range a {
		a[i] = int64(rnd.IntN(8)) - 1
	}
	return a
}

// TestNextSkipsNoEntry guards against entries that a search misses or returns wrongly, also after changes.
func TestNextSkipsNoEntry(t *testing.T) {
	const lists, searches, longest = 200, 60, 70
	rnd := rand.New(rand.NewPCG(1, 1))
	tree := &Tree{}
	for range lists {
		list := make([]Amounts, rnd.IntN(longest))
		for i := range list {
			list[i] = randomAmounts(rnd)
		}
		tree.Reset(len(list), func(i int) Amounts { return list[i] })
		for range searches {
			if len(list) > 0 {
				i := rnd.IntN(len(list))
				list[i] = randomAmounts(rnd)
				tree.Set(i, list[i])
			}
			first, need := rnd.IntN(longest), randomAmounts(rnd)
			if rnd.IntN(2) == 0 {
				need[3] = Lowest
			}
			assert.Equal(t, tree.Next(first, need), plainNext(list, first, need))
		}
	}
}

func TestEmptyTreeHasNoEntry(t *testing.T) {
	assert.Equal(t, (&Tree{}).Next(0, Amounts{}), 0)
}
