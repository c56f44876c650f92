// Package cover finds, in an ordered list, the entries whose amounts cover a need, without looking at the others.
//
// The amounts are the leaves of a binary tree whose inner nodes have the highest amounts below them. A search skips
// each part of the list whose highest amounts do not cover the need.
//
// # Usage
//
//	t := &cover.Tree{}
//	t.Reset(len(list), func(i int) cover.Amounts { return list[i].free })
//	for i := t.Next(0, need); i < len(list); i = t.Next(i+1, need) { use(list[i]) }
//	t.Set(3, less)
package cover

import "math"

// Dimensions is the number of amounts of an entry.
const Dimensions = 6

// Amounts are the amounts of an entry, or those of a need.
type Amounts [Dimensions]int64

// Lowest is an amount that every entry covers.
const Lowest = math.MinInt64 + 1

// nothing are the amounts of places without an entry. They cover no need.
var nothing = Amounts{
	math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64, math.MinInt64,
}

func (a *Amounts) covers(need *Amounts) bool {
	return a[0] >= need[0] && a[1] >= need[1] && a[2] >= need[2] &&
		a[3] >= need[3] && a[4] >= need[4] && a[5] >= need[5]
}

func highest(a, b *Amounts) Amounts {
	return Amounts{
		max(a[0], b[0]), max(a[1], b[1]), max(a[2], b[2]),
		max(a[3], b[3]), max(a[4], b[4]), max(a[5], b[5]),
	}
}

// Tree has the amounts of the entries of a list. The zero value is that of an empty list. It is not safe for concurrent
// use.
type Tree struct {
	entries, leaves int
	// nodes has the root at 1, the children of the node i at 2i and 2i+1, and the entries from leaves on.
	nodes []Amounts
}

// Reset replaces the list by one with n entries, whose amounts at returns.
func (t *Tree) Reset(n int, at func(i int) Amounts) {
	leaves := 1
	for leaves < n {
		leaves *= 2
	}
	if len(t.nodes) != 2*leaves {
		t.nodes = make([]Amounts, 2*leaves)
	}
	t.entries, t.leaves = n, leaves
	for i := range n {
		t.nodes[leaves+i] = at(i)
	}
	for i := n; i < leaves; i++ {
		t.nodes[leaves+i] = nothing
	}
	for i := leaves - 1; i > 0; i-- {
		t.nodes[i] = highest(&t.nodes[2*i], &t.nodes[2*i+1])
	}
}

// Set replaces the amounts of an entry.
func (t *Tree) Set(i int, a Amounts) {
	node := t.leaves + i
	t.nodes[node] = a
	for node /= 2; node > 0; node /= 2 {
		next := highest(&t.nodes[2*node], &t.nodes[2*node+1])
		if next == t.nodes[node] {
			return
		}
		t.nodes[node] = next
	}
}

// Next returns the index of the first entry from the index first on whose amounts cover the need, or the number of
// entries if there is none.
func (t *Tree) Next(first int, need Amounts) int {
	if first >= t.entries {
		return t.entries
	}
	node := t.leaves + first
	for node > 0 {
		switch {
		case !t.nodes[node].covers(&need):
			node = following(node)
		case node >= t.leaves:
			return node - t.leaves
		default:
			node *= 2
		}
	}
	return t.entries
}

// following returns the node right of all entries below the node, or 0 if there is none.
func following(node int) int {
	for node%2 == 1 {
		node /= 2
	}
	if node == 0 {
		return 0
	}
	return node + 1
}
