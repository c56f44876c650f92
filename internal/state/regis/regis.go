// Package regis tells which entry of service discovery describes the process that runs at an executor.
//
// An executor may start again under its id, as another kind and with another capacity, and its entry remains that of
// the former process until the next one has written its own and the leader has read it. One rule decides: an entry
// describes a process only if that process has written it, which shows in the start time that the entry and the lists
// of runs have in common. As long as no such entry is known, the newest one is an estimate. It may tell what belongs to
// the executor rather than to its process, and guide preferences, but nothing may rely on it that a start requires of
// the process.
//
// # Usage
//
//	r.Read(readAt, entry)            // each entry that is read
//	r.Identify(lists.StartedMS)      // each time that lists of runs show the process
//	if e, ok := r.Own(); ok { ... }  // what the process states of itself
//	e := r.Estimate()                // the same, or the entry of another process
package regis

import (
	"time"

	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// Registration has the entries of one executor. The zero value has none.
type Registration struct {
	newest, own record
	// startedMS is the start time of the process according to its lists; 0 before the first ones.
	startedMS int64
}

// record is an entry. readAt is when it was first read as it was last written; 0 if there is no entry.
type record struct {
	entry  queue.Executor
	readAt tick.Time
}

// Read applies an entry that was read at the time readAt.
func (r *Registration) Read(readAt tick.Time, e queue.Executor) {
	if r.newest.isRewritten(e) {
		r.newest.readAt = readAt
	}
	r.newest.entry = e
	r.adopt()
}

// Identify applies that lists of runs are those of the process with the start time. Lists that state none change
// nothing.
func (r *Registration) Identify(startedMS int64) {
	if startedMS == 0 || startedMS == r.startedMS {
		return
	}
	r.startedMS = startedMS
	if !r.isOfProcess(r.own.entry) {
		r.own = record{}
	}
	r.adopt()
}

// adopt makes the newest entry that of the process if the process has written it.
func (r *Registration) adopt() {
	if r.IsNewestOwn() {
		r.own = r.newest
	}
}

// isOfProcess reports whether the process has written the entry. An entry or lists without a start time do not tell
// processes apart.
func (r *Registration) isOfProcess(e queue.Executor) bool {
	return e.StartedMS == 0 || r.startedMS == 0 || e.StartedMS == r.startedMS
}

// Own returns the last entry that the process has written, and whether it is known. It must not be changed.
func (r *Registration) Own() (*queue.Executor, bool) {
	return &r.own.entry, r.own.readAt != 0
}

// IsNewestOwn reports whether the process has written the newest entry.
func (r *Registration) IsNewestOwn() bool {
	return r.newest.readAt != 0 && r.isOfProcess(r.newest.entry)
}

// Estimate returns the entry of the process, or the newest one of another process if that is not known. It must not be
// changed.
func (r *Registration) Estimate() *queue.Executor { return &r.estimate().entry }

// Age returns how long ago the entry that Estimate returns was first read as it was last written.
func (r *Registration) Age(now tick.Time) time.Duration { return now.Sub(r.estimate().readAt) }

func (r *Registration) estimate() *record {
	if r.own.readAt != 0 {
		return &r.own
	}
	return &r.newest
}

// isRewritten reports whether the entry may have been written since that of the record.
func (k *record) isRewritten(e queue.Executor) bool {
	isSame := e.Sequence != 0 && e.Sequence == k.entry.Sequence && e.StartedMS == k.entry.StartedMS
	return k.readAt == 0 || !isSame
}
