// Package rendez assigns keys to owners by rendezvous hashing.
//
// A change of the member set moves only the keys of the members that were added or removed.
//
// # Usage
//
//	set := rendez.New(members)
//	owner, ok := set.Owner("executor/cat-ex-1")
package rendez

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Set is an immutable set of members among which keys are distributed.
type Set[M ~string] struct {
	table *rendezvous.Rendezvous
}

// New returns a Set of the members. Their order must be the same on every instance.
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

// Owner returns the member that owns the key, or false if the set is empty.
func (s Set[M]) Owner(key string) (M, bool) {
	if s.table == nil {
		return "", false
	}
	return M(s.table.Lookup(key)), true
}
