// Package intent keeps what is known about the requests behind idempotency keys.
//
// The owner of a key records that the request started before it dispatches it, and the answer after. The states of
// one key are ordered by their sequence number; the higher one wins wherever two meet.
//
// # Usage
//
//	st := intent.New(limit)
//	in, isNew, err := st.Begin(now, key, fingerprint, retention)
//	st.Finish(now, key, answer, retention)
package intent

import (
	"container/list"
	"time"

	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

type entry struct {
	intent  *wire.Intent
	expires tick.Time
}

// Store holds the states of keys until their retention has passed. It is not safe for concurrent use.
type Store struct {
	limit   int
	writer  string
	entries map[ident.Key]*list.Element
	order   *list.List
}

// New returns a Store of at most limit keys of its own.
func New(limit int) *Store {
	return &Store{limit: limit, entries: map[ident.Key]*list.Element{}, order: list.New()}
}

// SetWriter names the life of the instance that writes from now on.
func (s *Store) SetWriter(life string) { s.writer = life }

// Len returns the number of keys.
func (s *Store) Len() int { return len(s.entries) }

// Get returns the state of a key.
func (s *Store) Get(now tick.Time, key ident.Key) (*wire.Intent, bool) {
	s.expire(now)
	el, ok := s.entries[key]
	if !ok {
		return nil, false
	}
	return s.entry(el).intent, true
}

func (*Store) entry(el *list.Element) *entry {
	e, _ := el.Value.(*entry)
	return e
}

// Begin records that the request behind the key starts and reports true, or returns the state that the key already has.
// A key whose earlier request is proved not to have run may start again.
func (s *Store) Begin(
	now tick.Time, key ident.Key, fingerprint string, keep time.Duration,
) (*wire.Intent, bool, error) {
	old, ok := s.Get(now, key)
	if ok && old.GetFingerprint() != fingerprint {
		return nil, false, fault.New(fault.CodeConflict, fault.NotRun, "the idempotency key was used for another request")
	}
	if ok && old.GetPhase() != wire.IntentPhase_INTENT_PHASE_NOT_RUN {
		return old, false, nil
	}
	if !ok && len(s.entries) >= s.limit {
		return nil, false, fault.New(fault.CodeOverloaded, fault.NotRun, "too many idempotency keys are kept").
			WithRetry(time.Second)
	}
	in := &wire.Intent{
		Key: string(key), Phase: wire.IntentPhase_INTENT_PHASE_STARTED, Fingerprint: fingerprint, Epoch: old.GetEpoch() + 1,
		Writer: s.writer,
	}
	s.put(now, in, keep)
	return in, true, nil
}

// Advance records a later phase of a key and returns the new state.
func (s *Store) Advance(
	now tick.Time, key ident.Key, phase wire.IntentPhase, answer *wire.Answer, keep time.Duration,
) *wire.Intent {
	old, ok := s.Get(now, key)
	if !ok {
		return nil
	}
	in := &wire.Intent{
		Key: old.GetKey(), Phase: phase, Answer: answer, Fingerprint: old.GetFingerprint(), Epoch: old.GetEpoch() + 1,
		Writer: s.writer,
	}
	s.put(now, in, keep)
	return in
}

// Merge takes over a state from another instance if it is newer than the own one, and returns the own one if that is
// newer or if another life wrote a state of the same epoch: the sender then does not know the key's history.
func (s *Store) Merge(now tick.Time, in *wire.Intent, keep time.Duration) *wire.Intent {
	old, ok := s.Get(now, ident.Key(in.GetKey()))
	switch {
	case ok && old.GetEpoch() > in.GetEpoch():
		return old
	case ok && old.GetEpoch() == in.GetEpoch() && old.GetWriter() != in.GetWriter():
		return old
	case ok && old.GetEpoch() == in.GetEpoch():
		return nil
	}
	s.put(now, in, keep)
	return nil
}

// All returns the states of all keys.
func (s *Store) All(now tick.Time) []*wire.Intent {
	s.expire(now)
	out := make([]*wire.Intent, 0, len(s.entries))
	for el := s.order.Front(); el != nil; el = el.Next() {
		out = append(out, s.entry(el).intent)
	}
	return out
}

func (s *Store) put(now tick.Time, in *wire.Intent, keep time.Duration) {
	key := ident.Key(in.GetKey())
	if el, ok := s.entries[key]; ok {
		s.order.Remove(el)
	}
	s.entries[key] = s.order.PushBack(&entry{intent: in, expires: now.Add(keep)})
}

func (s *Store) expire(now tick.Time) {
	for el := s.order.Front(); el != nil; el = s.order.Front() {
		e := s.entry(el)
		if now.Before(e.expires) {
			return
		}
		s.order.Remove(el)
		delete(s.entries, ident.Key(e.intent.GetKey()))
	}
}
