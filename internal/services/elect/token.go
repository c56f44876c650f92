package elect

import (
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/modules/orders"
)

// Token returns the highest fencing token of this instance in its term of the epoch. It rises with each stored
// heartbeat. Every later leader claims at a higher offset, so its epoch is higher than all tokens of the term.
func (e *Elector) Token(epoch uint64) orders.FencingToken {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ownEpoch != epoch {
		return orders.FencingToken(epoch)
	}
	return e.token
}

// tokenOf returns the fencing token that a record of the leader at the offset gives it.
func tokenOf(at logs.Offset) orders.FencingToken { return orders.FencingToken(claimEpoch(at)) }
