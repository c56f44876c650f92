package cell

import (
	"math"
	"slices"

	"github.com/ibischute/ibischute/pkg/tick"
)

// placement finds executors for waiting tasks in one pass.
type placement struct {
	now tick.Time
	// pools has the usable executors of each service.
	pools map[string][]*executor
	// refused has, for each service, requests that fit nowhere. A request that is no smaller does not fit either.
	refused map[string][]refusal
}

type refusal struct {
	room  room
	label string
	// image and cores matter for tasks that fill: each image presses on others, and their cores take no room.
	image string
	cores uint32
}

func refusalOf(s *step, need room) refusal {
	r := refusal{room: need, label: s.pb.RequiresLabel}
	if s.pb.Fills {
		r.image, r.cores = s.pb.Image, s.pb.MilliCpu
	}
	return r
}

// covers reports whether a request is no smaller than the one refused.
func (r refusal) covers(o refusal) bool {
	return r.label == o.label && r.image == o.image && o.cores >= r.cores && o.room.holds(r.room)
}

// maxRefusals bounds the requests that are remembered in one pass.
const maxRefusals = 32

func (c *Cell) newPlacement(now tick.Time) *placement {
	p := &placement{now: now, pools: map[string][]*executor{}, refused: map[string][]refusal{}}
	for _, x := range c.execs {
		if x.isUsable(now) {
			p.pools[x.entry.Service] = append(p.pools[x.entry.Service], x)
		}
	}
	for _, pool := range p.pools {
		slices.SortFunc(pool, func(a, b *executor) int {
			if a.entry.ID < b.entry.ID {
				return -1
			}
			return 1
		})
	}
	return p
}

// candidate is an executor that can take a task of a step, with its cost.
type candidate struct {
	exec *executor
	cost float64
}

// candidates are the executors that can take tasks of one step. They are rated once for all tasks of the step; a start
// changes the rating of its executor alone.
type candidates struct {
	placement *placement
	step      *step
	need      room
	list      []candidate
}

// candidates rates the executors for a step.
func (p *placement) candidates(s *step) *candidates {
	c := &candidates{placement: p, step: s, need: roomOf(s.pb)}
	service := s.job.queue.Service
	if p.isRefused(service, c.need, s) {
		return c
	}
	for _, x := range p.pools[service] {
		if cost, ok := p.rate(s, c.need, x); ok {
			c.list = append(c.list, candidate{x, cost})
		}
	}
	// What a gang did not find tells nothing to others, since its members before that one took room for the moment.
	isGeneral := s.advised == nil && s.pb.MaxPerExecutor == 0 && !s.pb.Gang
	if len(c.list) == 0 && isGeneral && len(p.refused[service]) < maxRefusals {
		p.refused[service] = append(p.refused[service], refusalOf(s, c.need))
	}
	return c
}

// rate returns the cost of an executor for a task of the step, and whether it can take one.
func (p *placement) rate(s *step, need room, x *executor) (float64, bool) {
	if !x.allows(s, need) || !s.holdsTicket(p.now, x) {
		return 0, false
	}
	cost := x.cost(s, need)
	if !s.pb.Fills {
		return cost, true
	}
	press, ok := bears(p.now, x, s)
	if !ok || x.unused() < int64(s.pb.MilliCpu) {
		return 0, false
	}
	return cost + costPress*press, true
}

// best returns the cheapest executor for the task, or nil.
func (c *candidates) best(t *task) *executor {
	shuns := t.shuns(c.placement.pools[c.step.job.queue.Service])
	var best *executor
	lowest := math.Inf(1)
	for _, k := range c.list {
		cost := k.cost
		if slices.Contains(t.shunned, k.exec.entry.ID) {
			if shuns {
				continue
			}
			cost += costShunned
		}
		if cost < lowest {
			best, lowest = k.exec, cost
		}
	}
	return best
}

// update rates an executor anew after a start.
func (c *candidates) update(x *executor) {
	i := slices.IndexFunc(c.list, func(k candidate) bool { return k.exec == x })
	if i < 0 {
		return
	}
	cost, ok := c.placement.rate(c.step, c.need, x)
	if !ok {
		c.list = slices.Delete(c.list, i, i+1)
		return
	}
	c.list[i].cost = cost
}

func (p *placement) isRefused(service string, need room, s *step) bool {
	request := refusalOf(s, need)
	return slices.ContainsFunc(p.refused[service], func(r refusal) bool { return r.covers(request) })
}

// allows reports whether the task may be started on the executor.
func (x *executor) allows(s *step, need room) bool {
	if !x.free().holds(need) {
		return false
	}
	if !x.satisfies(s.pb.RequiresLabel) {
		return false
	}
	if s.pb.MaxPerExecutor > 0 && x.countOf(s) >= int(s.pb.MaxPerExecutor) {
		return false
	}
	return true
}

// shuns reports whether the task keeps off the executors on which it has failed. It does not where none is left, and a
// lasting task takes what there is.
func (t *task) shuns(pool []*executor) bool {
	if len(t.shunned) == 0 || len(t.shunned) >= maxShunned || t.step.pb.LongRunning {
		return false
	}
	label := t.step.pb.RequiresLabel
	return slices.ContainsFunc(pool, func(x *executor) bool {
		return x.satisfies(label) && !slices.Contains(t.shunned, x.entry.ID)
	})
}

// maxShunned is how many executors a task may avoid for its failures; beyond it the task itself is to blame.
const maxShunned = 8

// countOf returns how many tasks of the step the executor has.
func (x *executor) countOf(s *step) int {
	n := 0
	for _, r := range x.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// servingLoad is the share of their processors that serving tasks use in the mean.
const servingLoad = 0.5

// unused returns the processor share that tasks that fill may still get.
func (x *executor) unused() int64 {
	idle := int64((1 - servingLoad) * float64(x.servingCPU))
	return x.free().milliCPU + idle - x.fillingCPU
}

const (
	// costFarFromData outweighs every other cost: the task would take several times as long.
	costFarFromData = 1000
	// costBesideFilling is the cost of each task that fills for a serving task.
	costBesideFilling = 0.1
	// costUnsharedServing is the cost of a serving task on an executor that serves nothing yet.
	costUnsharedServing = 1
	// costPress times the load that a filling task adds to serving ones.
	costPress = 50
	// costOtherImage is the cost of each other image that serves there: fewer images leave more kinds of filling
	// tasks that press on none.
	costOtherImage = 2
	// costShunned is the cost of an executor on which the task has failed.
	costShunned = 500
	// costFailing is the cost of an executor whose last run failed.
	costFailing = 50
)

// cost rates an executor for a task; the lowest is taken.
func (x *executor) cost(s *step, need room) float64 {
	cost := 0.0
	if s.pb.DataRack != "" && !x.hasLabel(s.pb.DataRack) {
		cost += costFarFromData
	}
	cost += costFailing * float64(x.failures)
	total := float64(max(1, x.total.milliCPU))
	if s.pb.Fills {
		return cost - float64(x.unused())/total
	}
	if s.pb.TargetMs > 0 {
		cost += costBesideFilling * float64(len(x.filling))
		if len(x.serving) == 0 {
			cost += costUnsharedServing
		}
		cost += costOtherImage * float64(x.otherImages(s.pb.Image))
	}
	return cost + float64(x.free().milliCPU-need.milliCPU)/total
}

// otherImages counts the serving runs of other images.
func (x *executor) otherImages(image string) int {
	n := 0
	for _, r := range x.serving {
		if r.task.step.pb.Image != image {
			n++
		}
	}
	return n
}
