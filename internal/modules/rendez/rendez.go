// Package rendez picks the owner of a key by rendezvous hashing.
//
// A change of the member set moves only the keys of the members that came or went.
//
// # Usage
//
//	set := rendez.New(members)
//	owner, ok := set.Winner("executor/cat-ex-1")
package rendez

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Set is an immutable set of members that keys are spread over.
type Set[M ~string] struct {
	table *rendezvous.Rendezvous
}

// New returns the Set of the members, whose order must be the same on every instance.
func New[M ~string](members []M) Set[M] {
	if len(members) == 0 {
		return Set[M]{}
	}
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = string(m)
	}
	return Set[M]{table: rendezvous.New(names, xxhash.Sum64String)}
}

// Winner returns the member that owns the key. It reports false for an empty set.
func (s Set[M]) Winner(key string) (M, bool) {
	if s.table == nil {
		return "", false
	}
	return M(s.table.Lookup(key)), true
}
