package cell

import (
	"slices"
	"strings"
)

// fleet has all executors in the order of their ids, which is the order in which equally suited ones are used.
type fleet []*executor

func (f fleet) find(id string) (int, bool) {
	return slices.BinarySearchFunc(f, id, func(x *executor, id string) int { return strings.Compare(x.entry.ID, id) })
}

// setExecutor adds an executor or replaces the one with its id.
func (c *Cell) setExecutor(x *executor) {
	id := x.entry.ID
	c.execs[id] = x
	i, ok := c.fleet.find(id)
	if ok {
		c.fleet[i] = x
		return
	}
	c.fleet = slices.Insert(c.fleet, i, x)
}

// dropExecutor removes the executor with the id.
func (c *Cell) dropExecutor(id string) {
	if x, ok := c.execs[id]; ok {
		c.droppedToken = max(c.droppedToken, x.token)
	}
	delete(c.execs, id)
	if i, ok := c.fleet.find(id); ok {
		c.fleet = slices.Delete(c.fleet, i, i+1)
	}
}
