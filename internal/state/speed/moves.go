package speed

import (
	"time"

	"github.com/ibischute/ibischute/internal/modules/orders"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// maxMovesPerSecond bounds the moves. If a sixth of 490 executors turns slow with five runs each, all of them have
	// moved within 10 s.
	maxMovesPerSecond = 40
	// movePause is the shortest time between two moves of a task. It covers the stop, the restoring of the checkpoint and
	// the windows that rate its next executor.
	movePause = 5 * time.Second
	// targetPause is the shortest time between two moves for the same room, which is taken only once the run has stopped
	// and its task has started there.
	targetPause = time.Second
)

// moves are the newest moves, which limit further ones.
type moves struct {
	// movedAt has the time of the last move of each task, and usedAt that of the last one to each executor.
	movedAt map[orders.Task]tick.Time
	usedAt  map[string]tick.Time
	// movesInSecond counts the moves since secondBeganAt.
	secondBeganAt tick.Time
	movesInSecond int
	prunedAt      tick.Time
}

// Move reports whether the run of the task may be moved now to the room on the target. If so, it counts as moved.
func (m *Model) Move(now tick.Time, t orders.Task, target string) bool {
	v := &m.moves
	if now.Sub(v.secondBeganAt) >= time.Second {
		v.secondBeganAt, v.movesInSecond = now, 0
	}
	if v.movesInSecond >= maxMovesPerSecond || !m.MayMove(now, t) {
		return false
	}
	if !m.MayUse(now, target) {
		return false
	}
	v.prune(now)
	v.movesInSecond++
	v.movedAt[t], v.usedAt[target] = now, now
	return true
}

// MayMove reports whether enough time has passed since the last move of the task.
func (m *Model) MayMove(now tick.Time, t orders.Task) bool {
	at, ok := m.moves.movedAt[t]
	return !ok || now.Sub(at) >= movePause
}

// MayUse reports whether enough time has passed since the last move to room on the target.
func (m *Model) MayUse(now tick.Time, target string) bool {
	at, ok := m.moves.usedAt[target]
	return !ok || now.Sub(at) >= targetPause
}

// prune drops moves that no longer limit others. So at most maxMovesPerSecond of each second of two pauses are kept.
func (v *moves) prune(now tick.Time) {
	if now.Sub(v.prunedAt) < movePause {
		return
	}
	v.prunedAt = now
	for t, at := range v.movedAt {
		if now.Sub(at) >= movePause {
			delete(v.movedAt, t)
		}
	}
	for id, at := range v.usedAt {
		if now.Sub(at) >= targetPause {
			delete(v.usedAt, id)
		}
	}
}
