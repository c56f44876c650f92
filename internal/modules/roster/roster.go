// Package roster defines the interface to the platform's list of live and leaving instances. The list lags behind the
// actual state of the instances.
//
// # Usage
//
//	list, isNew, err := src.Fetch(ctx)
//	for _, e := range list.Filter(roster.KindExecutor, "catania") { ... }
package roster

import (
	"context"
	"net/http"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Kind is the kind of an entry in the list.
type Kind string

// The kinds of entries.
const (
	KindEntry    Kind = "entry"
	KindExecutor Kind = "executor"
	KindWorker   Kind = "worker"
)

// Entry is one instance in the list.
type Entry struct {
	Kind    Kind          `json:"kind"`
	Name    string        `json:"name"`
	Domain  ident.Domain  `json:"domain"`
	Rack    string        `json:"rack,omitempty"`
	Address string        `json:"address"`
	Service ident.Service `json:"service,omitempty"`
	Slots   int           `json:"slots,omitempty"`
	// Capacity is the total resource capacity of a worker.
	Capacity demand.Vector `json:"capacity"`
	// Reserved is the part of a worker's capacity that is reserved for its services.
	Reserved demand.Vector `json:"reserved"`
	Leaving  bool          `json:"leaving,omitempty"`
}

// List is a snapshot of the instance list.
type List struct {
	Entries []Entry `json:"entries"`
}

// Filter returns the entries of the given kind and domain.
func (l List) Filter(kind Kind, domain ident.Domain) []Entry {
	var out []Entry
	for _, e := range l.Entries {
		if e.Kind == kind && e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

// Source provides the instance list.
type Source interface {
	// Fetch returns the platform's current list, which lags behind the actual state of the instances. It returns false
	// if the list has not changed since the last call.
	Fetch(ctx context.Context) (List, bool, error)
}

type httpSource struct {
	base   string
	client *http.Client
	tag    string
}

// NewHTTP returns a Source that fetches the list from the base address. It is not safe for concurrent use. An unchanged
// list is not transferred again; HTTP entity tags detect this.
func NewHTTP(base string, client *http.Client) Source { return &httpSource{base: base, client: client} }

func (s *httpSource) Fetch(ctx context.Context) (List, bool, error) {
	var l List
	tag, err := httpj.Get(ctx, s.client, s.base+"/v1/instances", s.tag, &l)
	if err != nil {
		return List{}, false, fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, "fetch instance list")
	}
	isNew := tag == "" || tag != s.tag
	s.tag = tag
	return l, isNew, nil
}
