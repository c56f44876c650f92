// Package roster is the interface to the platform's lagging list of live and leaving instances.
//
// # Usage
//
//	list, isNew, err := src.Fetch(ctx)
//	for _, e := range list.Of(roster.KindExecutor, "catania") { ... }
package roster

import (
	"context"
	"net/http"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/pkg/demand"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Kind tells what an entry of the list is.
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
	// Capacity is what a worker carries.
	Capacity demand.Vector `json:"capacity"`
	// Reserved is the part of a worker that its services take.
	Reserved demand.Vector `json:"reserved"`
	Leaving  bool          `json:"leaving,omitempty"`
}

// List is the state of the list at one moment.
type List struct {
	Entries []Entry `json:"entries"`
}

// Of returns the entries of a kind in a domain.
func (l List) Of(kind Kind, domain ident.Domain) []Entry {
	var out []Entry
	for _, e := range l.Entries {
		if e.Kind == kind && e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

// Source is where the list comes from.
type Source interface {
	// Fetch returns the list as the platform states it now, which lags behind the instances. It reports false if the
	// list has not changed since the last call.
	Fetch(ctx context.Context) (List, bool, error)
}

type httpSource struct {
	base   string
	client *http.Client
	tag    string
}

// NewHTTP returns the Source at the base address, for one caller at a time. A list that has not changed is not sent
// again, by the entity tag of HTTP.
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
