package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The figures of the store, as in the settings.
const (
	storeLatency    = 4 * time.Millisecond
	appendTime      = time.Millisecond
	keepFor         = 20 * time.Second
	writesPerSecond = 1200
	readsPerSecond  = 6000
	recordBytes     = 262144
	requestBytes    = 2097152
	pageRecords     = 500
	pageBytes       = 1 << 20
	repeatsKept     = 5
)

type storedRecord struct {
	body []byte
	at   time.Time
}

type keyedRecord struct {
	value  []byte
	offset uint64
}

type doneAppend struct{ sequence, offset, end uint64 }

type producerState struct {
	epoch uint64
	known bool
	last  []doneAppend
}

type partition struct {
	// writing makes the appends one at a time.
	writing sync.Mutex
	first   uint64
	records []storedRecord
	newest  map[string]keyedRecord
	// sorted has the keys of newest in order; nil if they have changed.
	sorted    []string
	producers map[string]*producerState
	changed   chan struct{}
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

// Store is the platform's metadata store.
type Store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// second, writes and reads count the calls of the present second.
	second        int64
	writes, reads int
}

func newStore() *Store { return &Store{parts: map[string]*partition{}} }

func isKeyed(topic string) bool { return strings.HasPrefix(topic, "keyed.") }

// part returns a partition without expired records. The caller holds the mutex.
func (s *Store) part(topic, part string) *partition {
	k := topic + "/" + part
	p := s.parts[k]
	if p == nil {
		p = &partition{newest: map[string]keyedRecord{}, producers: map[string]*producerState{}, changed: make(chan struct{})}
		s.parts[k] = p
	}
	n := 0
	for n < len(p.records) && time.Since(p.records[n].at) > keepFor {
		n++
	}
	p.records, p.first = p.records[n:], p.first+uint64(n)
	return p
}

// add appends records and returns their first offset. The caller holds the mutex.
func (p *partition) add(topic string, records [][]byte) uint64 {
	offset := p.end()
	for _, b := range records {
		if isKeyed(topic) && len(b) > 0 && int(b[0]) < len(b) {
			key, value := string(b[1:1+int(b[0])]), b[1+int(b[0]):]
			if _, ok := p.newest[key]; ok != (len(value) > 0) {
				p.sorted = nil
			}
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = keyedRecord{value, p.end()}
			}
		}
		p.records = append(p.records, storedRecord{b, time.Now()})
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return offset
}

// Put writes a record of the operator or of an executor; an empty value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	b := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part(topic, "0").add(topic, [][]byte{append(b, value...)})
}

// admit counts a call and writes the status of one that is refused.
func (s *Store) admit(w http.ResponseWriter, isWrite bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now().Unix(); now != s.second {
		s.second, s.writes, s.reads = now, 0, 0
	}
	if isWrite {
		s.writes++
	} else {
		s.reads++
	}
	if s.writes > writesPerSecond || s.reads > readsPerSecond {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return true
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	switch r.URL.Path {
	case "/api/log-append":
		if s.admit(w, true) {
			s.append(w, r)
		}
	case "/api/log-read":
		if s.admit(w, false) {
			s.read(w, r)
		}
	case "/api/log-newest":
		if s.admit(w, false) {
			s.newest(w, r)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func splitRecords(b []byte) ([][]byte, bool) {
	var out [][]byte
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > len(b)-4 || n > recordBytes {
			return nil, false
		}
		out = append(out, b[4:4+n])
		b = b[4+n:]
	}
	return out, true
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic, part := q.Get("topic"), q.Get("part")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*requestBytes))
	records, ok := splitRecords(body)
	if err != nil || !ok || len(body) > requestBytes+4*len(records) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	p := s.part(topic, part)
	s.mu.Unlock()
	p.writing.Lock()
	defer p.writing.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p = s.part(topic, part)
	if q.Has("at") && q.Get("at") != strconv.FormatUint(p.end(), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": p.end()})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64)
		if !p.checkProducer(w, name, epoch, sequence, len(records)) {
			return
		}
	}
	offset := p.end()
	if len(records) > 0 {
		p.add(topic, records)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": p.end()})
}

// checkProducer applies the epoch and the sequence number of an append. It returns false if it has written the answer.
func (p *partition) checkProducer(w http.ResponseWriter, name string, epoch, sequence uint64, count int) bool {
	st := p.producers[name]
	if st == nil {
		st = &producerState{}
		p.producers[name] = st
	}
	if epoch < st.epoch {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return false
	}
	if epoch > st.epoch {
		*st = producerState{epoch: epoch}
	}
	if count == 0 {
		return true
	}
	for _, d := range st.last {
		if d.sequence == sequence {
			writeJSON(w, http.StatusOK, map[string]any{"offset": d.offset, "end": d.end})
			return false
		}
	}
	if n := len(st.last); n > 0 && sequence != st.last[n-1].sequence+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": st.last[n-1].sequence + 1})
		return false
	}
	st.last = append(st.last, doneAppend{sequence, p.end(), p.end() + uint64(count)})
	if len(st.last) > repeatsKept {
		st.last = st.last[1:]
	}
	return true
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, _ := strconv.Atoi(q.Get("max_kb"))
	if maxKB <= 0 {
		maxKB = 1024
	}
	until := time.NewTimer(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	defer until.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		p := s.part(q.Get("topic"), q.Get("part"))
		if from < p.first {
			first := p.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < p.end() || isOver {
			out := binary.BigEndian.AppendUint64(nil, p.end())
			out = binary.BigEndian.AppendUint64(out, p.first)
			for i := from; i < p.end(); i++ {
				b := p.records[i-p.first].body
				if i > from && len(out)+len(b) > maxKB<<10 {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(len(b)))
				out = append(out, b...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-until.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), q.Get("part"))
	keys := p.keysAfter(q.Get("depends_on"))
	items, size := []map[string]any{}, 0
	for _, k := range keys {
		rec := p.newest[k]
		size += len(k) + len(rec.value)
		if len(items) == pageRecords || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, map[string]any{
			"key": k, "value": base64.StdEncoding.EncodeToString(rec.value), "offset": rec.offset,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end": p.end()})
}

// keysAfter returns the keys after the given one in order.
func (p *partition) keysAfter(key string) []string {
	if p.sorted == nil {
		p.sorted = make([]string, 0, len(p.newest))
		for k := range p.newest {
			p.sorted = append(p.sorted, k)
		}
		sort.Strings(p.sorted)
	}
	i := sort.SearchStrings(p.sorted, key)
	if i < len(p.sorted) && p.sorted[i] == key {
		i++
	}
	return p.sorted[i:]
}

// keys returns the number of keys of each keyed partition.
func (s *Store) keys() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for k, p := range s.parts {
		if len(p.newest) > 0 {
			out[k] = len(p.newest)
		}
	}
	return out
}
