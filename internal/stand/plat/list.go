package plat

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/roster"
)

type listChange struct {
	at    time.Time
	entry roster.Entry
	gone  bool
}

// list is the instance list; a change shows once it is older than the lag.
type list struct {
	lag     time.Duration
	changes []listChange
	order   []string
	entries map[string]roster.Entry
	version int
}

func newList(lag time.Duration) *list {
	return &list{lag: lag, entries: map[string]roster.Entry{}}
}

func (l *list) visible(now time.Time) roster.List {
	for len(l.changes) > 0 && now.Sub(l.changes[0].at) >= l.lag {
		l.apply(l.changes[0])
		l.changes = l.changes[1:]
	}
	out := roster.List{Entries: []roster.Entry{}}
	for _, name := range l.order {
		if e, ok := l.entries[name]; ok {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

func (l *list) apply(c listChange) {
	l.version++
	if c.gone {
		delete(l.entries, c.entry.Name)
		return
	}
	if _, known := l.entries[c.entry.Name]; !known {
		l.order = append(l.order, c.entry.Name)
	}
	l.entries[c.entry.Name] = c.entry
}

// RegisterRequest adds, changes or removes an instance.
type RegisterRequest struct {
	Entry roster.Entry `json:"entry"`
	Gone  bool         `json:"gone"`
	// Now makes the change visible at once.
	Now bool `json:"now"`
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.list.visible(time.Now())
	tag := fmt.Sprintf("%q", fmt.Sprint(p.list.version))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Etag", tag)
	httpj.Write(w, http.StatusOK, list)
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[RegisterRequest](r, maxBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Register(req)
	httpj.Write(w, http.StatusOK, req)
}

// Register changes the list.
func (p *Platform) Register(req RegisterRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := listChange{at: time.Now(), entry: req.Entry, gone: req.Gone}
	if req.Entry.Kind == roster.KindWorker && !req.Gone {
		p.addWorker(req.Entry)
	}
	if req.Now {
		p.list.apply(c)
		return
	}
	p.list.changes = append(p.list.changes, c)
}
