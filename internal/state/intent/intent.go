// Package intent stores the state of the requests behind idempotency keys.
//
// The owner of a key records the start of the request before it dispatches the request, and the answer after it. Each
// new state of a key has an epoch that is one higher than that of the state before it, and replaces states with a lower
// epoch. These epochs are not related to those of a View.
//
// # Usage
//
//	st := intent.New(limit)
//	in, isNew, err := st.Begin(now, key, fingerprint, retention)
//	st.Advance(now, key, phase, answer, retention)
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

// Store holds the states of keys until their retention has expired. It is not safe for concurrent use.
type Store struct {
	limit   int
	writer  string
	entries map[ident.Key]*list.Element
	// order lists the entries by the time of their newest state. With an unchanged retention, they expire in this order.
	order *list.List
}

// New returns a Store. Begin rejects new keys once it holds limit keys; keys merged from other instances are not
// limited.
func New(limit int) *Store {
	return &Store{limit: limit, entries: map[ident.Key]*list.Element{}, order: list.New()}
}

// SetWriter sets the instance and incarnation that is recorded as the writer of new states.
func (s *Store) SetWriter(writer string) { s.writer = writer }

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

// Begin records the start of the request behind the key and reports true, or returns the existing state of the key. A
// key whose earlier request provably did not run may start again.
func (s *Store) Begin(
	now tick.Time, key ident.Key, fingerprint string, retention time.Duration,
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
	s.put(now, in, retention)
	return in, true, nil
}

// Advance records a later phase of a key and returns the new state.
func (s *Store) Advance(
	now tick.Time, key ident.Key, phase wire.IntentPhase, answer *wire.Answer, retention time.Duration,
) *wire.Intent {
	old, ok := s.Get(now, key)
	if !ok {
		return nil
	}
	in := &wire.Intent{
		Key: old.GetKey(), Phase: phase, Answer: answer, Fingerprint: old.GetFingerprint(), Epoch: old.GetEpoch() + 1,
		Writer: s.writer,
	}
	s.put(now, in, retention)
	return in
}

// Merge stores a state from another instance if it is newer than the stored one. It returns the stored state if that is
// newer, or if it has the same epoch and another writer, because the sender then does not know the key's history.
func (s *Store) Merge(now tick.Time, in *wire.Intent, retention time.Duration) *wire.Intent {
	old, ok := s.Get(now, ident.Key(in.GetKey()))
	switch {
	case ok && old.GetEpoch() > in.GetEpoch():
		return old
	case ok && old.GetEpoch() == in.GetEpoch() && old.GetWriter() != in.GetWriter():
		return old
	case ok && old.GetEpoch() == in.GetEpoch():
		return nil
	}
	s.put(now, in, retention)
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

func (s *Store) put(now tick.Time, in *wire.Intent, retention time.Duration) {
	key := ident.Key(in.GetKey())
	if el, ok := s.entries[key]; ok {
		s.order.Remove(el)
	}
	s.entries[key] = s.order.PushBack(&entry{intent: in, expires: now.Add(retention)})
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
