// Package chain decides which placement records of former leaders a new leader may rely on.
//
// A leader that keeps placement records stores, before it sends the start order of a task, a record that names the
// executor. The record of a job therefore names every executor on which a task of it may run, but only if every leader
// since the one that wrote it kept such records. A leader of a version without them writes no term record, which breaks
// the chain. A leader that states in the election log that it stores a term record before its first start, and has
// stored none, has started nothing: it does not break the chain.
//
// # Usage
//
//	c := chain.New(epoch, previousEpoch, recordedSince, lastTermRecord)
//	if c.Trusts(progress) { ... }
//	store(c.Record())
package chain

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/ibischute/ibischute/internal/modules/jobpb"
)

// Chain is the sequence of successive leaders, up to the one with the epoch, that have all kept placement records.
type Chain struct {
	epoch, previous, since uint64
}

// New returns the chain that ends with the leader of the epoch. The previous epoch is that of the leader before in the
// election log, or 0 if it is unknown. From recordedSince on, all leaders up to the previous one store a term record
// before their first start; it is 0 if that is known of none. The term is the last stored term record, or nil. It is
// used only if its contents are consistent and no leader after the one that wrote it can have started tasks.
func New(epoch, previous, recordedSince uint64, t *jobpb.Term) Chain {
	if t == nil || t.Since == 0 || t.Since > t.Epoch || t.Epoch > previous || previous >= epoch {
		return Chain{epoch: epoch, since: epoch}
	}
	isRecorded := recordedSince != 0 && recordedSince <= t.Epoch
	if t.Epoch != previous && !isRecorded {
		return Chain{epoch: epoch, since: epoch}
	}
	return Chain{epoch: epoch, previous: previous, since: t.Since}
}

// Trusts reports whether the record of a job names every executor on which a former leader may have started a task of
// it.
func (c Chain) Trusts(p *jobpb.Progress) bool {
	return p.PlacementEpoch != 0 && c.since <= p.PlacementEpoch && p.PlacementEpoch <= c.previous
}

// String describes which records are relied on.
func (c Chain) String() string {
	if c.previous == 0 {
		return "no placement record is relied on"
	}
	return fmt.Sprintf("placement records of epochs %d to %d are relied on", c.since, c.previous)
}

// Record returns the term record that the leader has to store before its first start.
func (c Chain) Record() *jobpb.Term { return &jobpb.Term{Epoch: c.epoch, Since: c.since} }

// Hash returns the hash by which a record names an executor. It is never 0, which stands for no executor.
func Hash(executor string) uint32 { return max(1, uint32(xxhash.Sum64String(executor))) }
