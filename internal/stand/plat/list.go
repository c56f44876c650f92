package plat

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/roster"
)

type listChange struct {
	at        time.Time
	entry     roster.Entry
	isRemoval bool
}

// instanceList is the list of instances. A change becomes visible once it is older than the lag.
type instanceList struct {
	lag     time.Duration
	changes []listChange
	order   []string
	entries map[string]roster.Entry
	version int
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{lag: lag, entries: map[string]roster.Entry{}}
}

// snapshot applies the changes that have become visible and returns the list.
func (l *instanceList) snapshot(now time.Time) roster.List {
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

func (l *instanceList) apply(c listChange) {
	l.version++
	if c.isRemoval {
		delete(l.entries, c.entry.Name)
		return
	}
	if _, isListed := l.entries[c.entry.Name]; !isListed {
		l.order = append(l.order, c.entry.Name)
	}
	l.entries[c.entry.Name] = c.entry
}

// RegisterRequest adds, changes or removes an instance.
type RegisterRequest struct {
	Entry     roster.Entry `json:"entry"`
	IsRemoved bool         `json:"gone"`
	// Now makes the change visible at once.
	Now bool `json:"now"`
}

func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.list.snapshot(time.Now())
	tag := fmt.Sprintf("%q", fmt.Sprint(p.list.version))
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Etag", tag)
	httpj.Write(w, http.StatusOK, list)
}

func (p *Platform) handleRegister(w http.ResponseWriter, r *http.Request) {
	req, err := httpj.Decode[RegisterRequest](r, maxBodyBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Register(req)
	httpj.Write(w, http.StatusOK, req)
}

// Register adds, changes or removes an instance in the list.
func (p *Platform) Register(req RegisterRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := listChange{at: time.Now(), entry: req.Entry, isRemoval: req.IsRemoved}
	if req.Entry.Kind == roster.KindWorker && !req.IsRemoved {
		p.addWorker(req.Entry)
	}
	if req.Now {
		p.list.apply(c)
		return
	}
	p.list.changes = append(p.list.changes, c)
}
