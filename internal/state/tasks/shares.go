package tasks

import (
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/ident"
)

// fairShares tracks the CPU that each team uses in relation to its share.
type fairShares struct {
	used   map[ident.Team]demand.MilliCPU
	weight func(ident.Team) float64
}

func newFairShares(weight func(ident.Team) float64) *fairShares {
	s := &fairShares{used: map[ident.Team]demand.MilliCPU{}}
	s.setWeights(weight)
	return s
}

// setWeights sets the weight function of the teams; nil gives all teams the same weight.
func (s *fairShares) setWeights(weight func(ident.Team) float64) {
	if weight == nil {
		weight = func(ident.Team) float64 { return 1 }
	}
	s.weight = weight
}

func (s *fairShares) add(t ident.Team, v demand.Vector) { s.used[t] += v.CPU }

func (s *fairShares) sub(t ident.Team, v demand.Vector) {
	s.used[t] -= v.CPU
	if s.used[t] <= 0 {
		delete(s.used, t)
	}
}

// usageRatio returns the team's used CPU divided by its weight.
func (s *fairShares) usageRatio(t ident.Team) float64 { return float64(s.used[t]) / s.weight(t) }
