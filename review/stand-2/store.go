package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store: a log with the calls that the protocol page describes.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
}

type partition struct {
	records [][]byte
	isKeyed bool
	// first is the first offset that is retained for reads.
	first     uint64
	producers map[string]*producer
	// latest has the index of the newest record of each key, and sorted the keys in order while it is valid.
	latest  map[string]int
	sorted  []string
	changed chan struct{}
	// appendMu processes the appends one at a time.
	appendMu sync.Mutex
}

type producer struct {
	epoch  uint64
	hasSeq bool
	last   uint64
	// recent has the responses to the last five appends by sequence number.
	recent map[uint64]appendResult
}

type appendResult struct{ Offset, End uint64 }

func newStore() *store { return &store{parts: map[string]*partition{}} }

func (s *store) part(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := topic + "/" + part
	p, ok := s.parts[key]
	if !ok {
		p = &partition{producers: map[string]*producer{}, latest: map[string]int{}, isKeyed: strings.HasPrefix(topic, "keyed."), changed: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

// put writes the newest record of a key, as the operator and the executors do.
func (s *store) put(topic, key string, value []byte) {
	p := s.part(topic, "0")
	rec := append([]byte{byte(len(key))}, key...)
	rec = append(rec, value...)
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	p.add([][]byte{rec})
}

func (p *partition) add(records [][]byte) {
	if len(records) == 0 {
		return
	}
	for i, rec := range records {
		if !p.isKeyed {
			break
		}
		key := string(rec[1 : 1+int(rec[0])])
		_, isKnown := p.latest[key]
		if len(rec) == 1+int(rec[0]) {
			delete(p.latest, key)
			p.sorted = nil
			continue
		}
		p.latest[key] = len(p.records) + i
		if !isKnown {
			p.sorted = nil
		}
	}
	p.records = append(p.records, records...)
	close(p.changed)
	p.changed = make(chan struct{})
}

// compact deletes the records so far; the newest of each key stay.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.parts {
		p.first = uint64(len(p.records))
	}
}

// storeView is one node's path to the store, with its disruptions.
type storeView struct {
	store *store
	mu    sync.Mutex
	// mode is "", "busy", "many", "silent" or "reset".
	mode string
	// lose is the share of writes that are done and not answered; late that of writes done 1 to 6 s later, unanswered.
	lose, late float64
	delay      time.Duration
	// loseNext, if set, is asked for each append whether it is done without an answer.
	loseNext func(topic string, body []byte) bool
	// observe, if set, is called for each append before it is done.
	observe func(topic string, body []byte)
	// ledAt is when the node last appended records under the condition of an epoch.
	ledAt time.Time
}

func (v *storeView) set(f func(v *storeView)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(v)
}

func (v *storeView) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mu.Lock()
	mode, lose, late, delay, loseNext, observe := v.mode, v.lose, v.late, v.delay, v.loseNext, v.observe
	v.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !v.pass(w, r, mode) {
		return
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if r.Method == http.MethodPost && r.URL.Path == "/api/log-append" {
		topic := r.URL.Query().Get("topic")
		if r.URL.Query().Get("producer") != "" && len(body) > 0 {
			v.set(func(v *storeView) { v.ledAt = time.Now() })
		}
		if observe != nil {
			observe(topic, body)
		}
		switch {
		case loseNext != nil && loseNext(topic, body), rand.Float64() < lose:
			v.store.append(r, body)
			hang(r)
		case rand.Float64() < late:
			time.AfterFunc(time.Second+time.Duration(rand.Int64N(int64(5*time.Second))), func() { v.store.append(r, body) })
			hang(r)
		}
	}
	v.store.serve(w, r, body, v)
}

// pass applies the mode and reports whether the call goes on.
func (v *storeView) pass(w http.ResponseWriter, r *http.Request, mode string) bool {
	switch mode {
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "many":
		w.WriteHeader(http.StatusTooManyRequests)
	case "silent":
		hang(r)
	case "reset":
		panic(http.ErrAbortHandler)
	default:
		return true
	}
	return false
}

// hang leaves the call without an answer, until its caller gives up.
func hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(20 * time.Second):
	}
	panic(http.ErrAbortHandler)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte, v *storeView) {
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		status, out := s.append(r, body)
		writeJSON(w, status, out)
	case "GET /api/log-read":
		s.read(w, r, v)
	case "GET /api/log-newest":
		s.newest(w, r)
	case "POST /api/log-trim":
		writeJSON(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func splitRecords(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if n > len(body) {
			return nil, false
		}
		out = append(out, body[:n:n])
		body = body[n:]
	}
	return out, true
}

const appendTime = time.Millisecond

func (s *store) append(r *http.Request, body []byte) (int, any) {
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		return http.StatusForbidden, map[string]any{}
	}
	records, ok := splitRecords(body)
	if !ok {
		return http.StatusBadRequest, map[string]any{}
	}
	p := s.part(topic, q.Get("part"))
	p.appendMu.Lock()
	defer p.appendMu.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(p.records))
	if q.Has("at") && q.Get("at") != strconv.FormatUint(end, 10) {
		return http.StatusPreconditionFailed, map[string]any{"end": end}
	}
	var pr *producer
	var seq uint64
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("sequence"), 10, 64)
		pr, ok = p.producers[name]
		if !ok {
			pr = &producer{recent: map[uint64]appendResult{}}
			p.producers[name] = pr
		}
		if epoch < pr.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if epoch > pr.epoch {
			*pr = producer{epoch: epoch, recent: map[uint64]appendResult{}}
		}
		if len(records) == 0 {
			return http.StatusOK, map[string]any{"offset": end, "end": end}
		}
		if was, isRepeat := pr.recent[seq]; isRepeat {
			return http.StatusOK, map[string]any{"offset": was.Offset, "end": was.End}
		}
		if pr.hasSeq && seq != pr.last+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "sequence": pr.last + 1}
		}
	}
	p.add(records)
	res := appendResult{end, end + uint64(len(records))}
	if pr != nil && len(records) > 0 {
		pr.hasSeq, pr.last = true, seq
		pr.recent[seq] = res
		delete(pr.recent, seq-5)
	}
	return http.StatusOK, map[string]any{"offset": res.Offset, "end": res.End}
}

const maxReadBytes = 1 << 20

func (s *store) read(w http.ResponseWriter, r *http.Request, v *storeView) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for waitMS > 0 {
		s.mu.Lock()
		changed, end := p.changed, uint64(len(p.records))
		s.mu.Unlock()
		if from < end {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		case <-r.Context().Done():
		}
		break
	}
	v.mu.Lock()
	mode := v.mode
	v.mu.Unlock()
	if !v.pass(w, r, mode) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(p.records))
	if from < p.first {
		writeJSON(w, http.StatusGone, map[string]any{"first": p.first})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, p.first)
	for i := from; i < end && len(out) < maxReadBytes; i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i])))
		out = append(out, p.records[i]...)
	}
	_, _ = w.Write(out)
}

const pageKeys = 500

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	p := s.part(q.Get("topic"), q.Get("part"))
	after := q.Get("depends_on")
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.sorted == nil {
		p.sorted = make([]string, 0, len(p.latest))
		for k := range p.latest {
			p.sorted = append(p.sorted, k)
		}
		sort.Strings(p.sorted)
	}
	first := sort.SearchStrings(p.sorted, after)
	if first < len(p.sorted) && p.sorted[first] == after {
		first++
	}
	keys := p.sorted[first:]
	items, size := []any{}, 0
	hasMore := false
	for _, k := range keys {
		if len(items) == pageKeys || size > 1<<20 {
			hasMore = true
			break
		}
		rec := p.records[p.latest[k]]
		value := rec[1+int(rec[0]):]
		size += len(value)
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(value), "offset": p.latest[k],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end": len(p.records)})
}
