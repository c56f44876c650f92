// Package delay sums up how long the first starts of the tasks of each queue took, by stage.
//
// # Usage
//
//	sums := delay.New()
//	sums.Add(start.Queue, start.Stages) // for each start
//	for _, e := range sums.Take() {
//		log(e.Queue, e.Starts, e.Mean(), e.Longest)
//	}
package delay

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibischute/ibischute/pkg/queue"
)

// Stages are the parts of the time from when a task is ready until its start order is made.
type Stages struct {
	// Placing ends when the task has an executor, Recording when the record that names it is stored, and Ordering when
	// the start order is made.
	Placing, Recording, Ordering time.Duration
}

func (s Stages) total() time.Duration { return s.Placing + s.Recording + s.Ordering }

// Entry has the sums of one queue.
type Entry struct {
	Queue  queue.Name
	Starts int
	// Longest are the stages of the start that took longest in all.
	Longest Stages
	sum     Stages
}

// Mean returns the mean duration of each stage.
func (e Entry) Mean() Stages {
	n := time.Duration(max(1, e.Starts))
	return Stages{Placing: e.sum.Placing / n, Recording: e.sum.Recording / n, Ordering: e.sum.Ordering / n}
}

// Sums has the starts since the last call of Take.
type Sums struct {
	entries map[queue.Name]*Entry
}

// New returns empty Sums.
func New() *Sums { return &Sums{entries: map[queue.Name]*Entry{}} }

// Add counts a start.
func (s *Sums) Add(q queue.Name, stages Stages) {
	e := s.entries[q]
	if e == nil {
		e = &Entry{Queue: q}
		s.entries[q] = e
	}
	e.Starts++
	e.sum.Placing += stages.Placing
	e.sum.Recording += stages.Recording
	e.sum.Ordering += stages.Ordering
	if stages.total() > e.Longest.total() {
		e.Longest = stages
	}
}

// Take returns the entries of all queues with starts, by name, and removes them.
func (s *Sums) Take() []Entry {
	var out []Entry
	for _, e := range s.entries {
		out = append(out, *e)
	}
	clear(s.entries)
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Queue, b.Queue) })
	return out
}
