package tasks

import (
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/ident"
)

// shares accounts for what each team uses in relation to its share.
type shares struct {
	used   map[ident.Team]demand.MilliCPU
	weight func(ident.Team) float64
}

func newShares(weight func(ident.Team) float64) *shares {
	s := &shares{used: map[ident.Team]demand.MilliCPU{}}
	s.follow(weight)
	return s
}

// follow sets the weights of the teams; nil weighs all the same.
func (s *shares) follow(weight func(ident.Team) float64) {
	if weight == nil {
		weight = func(ident.Team) float64 { return 1 }
	}
	s.weight = weight
}

func (s *shares) add(t ident.Team, v demand.Vector) { s.used[t] += v.CPU }

func (s *shares) sub(t ident.Team, v demand.Vector) {
	s.used[t] -= v.CPU
	if s.used[t] <= 0 {
		delete(s.used, t)
	}
}

// level returns what the team uses over its share.
func (s *shares) level(t ident.Team) float64 { return float64(s.used[t]) / s.weight(t) }
