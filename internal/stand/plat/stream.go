package plat

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/pkg/ident"
)

type stream struct {
	// firstOffset is the offset of the first retained record.
	firstOffset ident.Offset
	records     []logio.Record
	changed     chan struct{}
}

func (s *stream) next() ident.Offset { return s.firstOffset + ident.Offset(len(s.records)) }

// stream returns the named stream and creates it if needed. The caller holds the mutex.
func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

func (p *Platform) handleAppend(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[logio.AppendRequest](r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(chi.URLParam(r, "stream"))
	first := s.next()
	for _, rec := range req.Records {
		rec.Offset = s.next()
		s.records = append(s.records, rec)
	}
	s.trim(p.opts.RetainRecords)
	close(s.changed)
	s.changed = make(chan struct{})
	p.report.Appends++
	p.report.Records += len(req.Records)
	httpj.Write(w, http.StatusOK, logio.AppendResponse{First: first})
}

// trim drops the oldest records so that at most keep remain; 0 keeps all.
func (s *stream) trim(keep int) {
	if keep <= 0 || len(s.records) <= keep {
		return
	}
	drop := len(s.records) - keep
	s.records = append([]logio.Record{}, s.records[drop:]...)
	s.firstOffset += ident.Offset(drop)
}

func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, errFrom := strconv.ParseUint(q.Get("from"), 10, 64)
	limit, errMax := strconv.Atoi(q.Get("max"))
	waitMS, errWait := strconv.ParseInt(q.Get("wait-ms"), 10, 64)
	if errFrom != nil || errMax != nil || errWait != nil || limit < 1 {
		http.Error(w, "from, max and wait-ms must be numbers", http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		b, changed := p.read(chi.URLParam(r, "stream"), ident.Offset(from), limit)
		if ident.Offset(from) < b.Earliest {
			httpj.Write(w, http.StatusGone, b)
			return
		}
		if len(b.Records) > 0 || waitMS == 0 || p.currentFaults().Down {
			httpj.Write(w, http.StatusOK, b)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			httpj.Write(w, http.StatusOK, b)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) read(name string, from ident.Offset, limit int) (logio.Batch, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Reads++
	s := p.stream(name)
	b := logio.Batch{Earliest: s.firstOffset, Next: s.next()}
	if from >= s.firstOffset && from < s.next() {
		tail := s.records[from-s.firstOffset:]
		b.Records = append(b.Records, tail[:min(limit, len(tail))]...)
	}
	return b, s.changed
}
