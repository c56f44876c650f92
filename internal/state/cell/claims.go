package cell

import (
	"fmt"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// An entry of service discovery is a claim, which may be outdated or from another writer. None ends the incarnation of
// an executor: that takes the word of the process at the address where the executor was, or the end of its lease.

// claim is the statement of an entry that a later process runs at the address of an executor.
type claim struct {
	executor  string
	startedMS int64
}

// noteClaim notes that the youngest entry at the executor's address is of another executor with a later start. The
// executor is to be asked whether it still runs.
func (c *Cell) noteClaim(x *executor, youngest queue.Executor) {
	isOther := youngest.ID != x.entry.ID && x.entry.StartedMS != 0 && youngest.StartedMS > x.entry.StartedMS
	if !isOther || x.isTerminated {
		x.claim, x.isClaimUnchecked = claim{}, false
		return
	}
	next := claim{youngest.ID, youngest.StartedMS}
	if next == x.claim {
		return
	}
	if next.executor != x.claim.executor {
		c.emit(Event{Name: "executor-address-claimed", Executor: x.entry.ID, Detail: fmt.Sprintf(
			"address %s, by %s of service %s, started %d, this one %d", x.entry.Address, youngest.ID, youngest.Service,
			youngest.StartedMS, x.entry.StartedMS)})
	}
	x.claim, x.isClaimUnchecked = next, true
}

// UncheckedClaims returns the executors whose address another entry claims and that are to be asked, by a query,
// whether they still run.
func (c *Cell) UncheckedClaims() []string {
	var ids []string
	for _, x := range c.fleet {
		if x.isClaimUnchecked {
			ids = append(ids, x.entry.ID)
		}
	}
	return ids
}

// handleOtherIncarnation applies that another process answers at the address. That ends the executor's incarnation only
// where the executor was: an entry may state an address at which it never ran.
func (c *Cell) handleOtherIncarnation(now tick.Time, x *executor, address string) {
	if x.mayRunElsewhere(address) {
		if !x.isMisdirected {
			c.emit(Event{Name: "executor-not-at-address", Executor: x.entry.ID, Detail: fmt.Sprintf(
				"another one answers at %s, last confirmed at %q", address, x.confirmedAddress)})
		}
		x.isMisdirected = true
		return
	}
	c.noteOutage(now, x, true)
	c.markTerminated(x, "response from another incarnation at "+address)
}

// mayRunElsewhere reports whether the executor may run at another address than the given one. No leader has sent orders
// to an executor that was never confirmed and is not inherited.
func (x *executor) mayRunElsewhere(address string) bool {
	if x.confirmedAddress == "" {
		return x.isInherited
	}
	return x.confirmedAddress != address
}

// confirmAddress notes that the executor has carried out an order at the address.
func (x *executor) confirmAddress(address string) {
	x.confirmedAddress, x.isMisdirected = address, false
}

// isAnswer reports whether the executor, or another one at its address, has answered.
func isAnswer(o orders.Outcome) bool {
	switch o {
	case orders.NoResponse, orders.NotSent, orders.Withheld, orders.OtherProcess:
		return false
	}
	return true
}
