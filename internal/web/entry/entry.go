// Package entry assembles an entry instance: its supervised services and its HTTP servers.
//
// # Usage
//
//	e, err := entry.New(settings, logger)
//	err = e.Run(ctx) // ends gracefully when the context ends
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/hopio"
	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/logio"
	"github.com/ibischute/ibischute/internal/modules/meter"
	"github.com/ibischute/ibischute/internal/modules/params"
	"github.com/ibischute/ibischute/internal/modules/roster"
	"github.com/ibischute/ibischute/internal/modules/suprv"
	"github.com/ibischute/ibischute/internal/modules/wake"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/modules/workio"
	"github.com/ibischute/ibischute/internal/services/keyed"
	"github.com/ibischute/ibischute/internal/services/lister"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/placer"
	"github.com/ibischute/ibischute/internal/services/rollo"
	"github.com/ibischute/ibischute/internal/services/route"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/internal/web/front"
	"github.com/ibischute/ibischute/internal/web/opersv"
	"github.com/ibischute/ibischute/internal/web/peersv"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

const (
	// The maximum numbers of connections to one host.
	maxPlatformConns        = 64
	maxPeerConns            = 16
	maxExecutorControlConns = 8
	maxHopConns             = 512
	// maxPeerClients is the size of the cache of twirp clients.
	maxPeerClients = 512
	// warmUpTimeout is the time after which a new instance reports ready although not all services have an owner.
	warmUpTimeout = 10 * time.Second
)

// Entry is an entry instance.
type Entry struct {
	settings params.Settings
	logger   zerolog.Logger
	meter    *meter.Meter
	// platformBytes, peerBytes and executorBytes count control traffic. peerBytes also counts the forwarded requests that
	// this instance receives, but not those that it sends.
	platformBytes, peerBytes, executorBytes httpj.Traffic
	// The URL scheme and the TLS configurations for connections between instances. The latter are nil without TLS.
	peerScheme                   string
	peerClientTLS, peerServerTLS *tls.Config
	lister                       *lister.Lister
	member                       *member.Member
	sched                        *sched.Scheduler
	router                       *route.Router
	keyed                        *keyed.Keyed
	rollout                      *rollo.Rollout
	placer                       *placer.Placer
	front                        *front.Front
	peersv                       *peersv.Server
	opersv                       *opersv.Server
	started                      tick.Time
	hasBeenReady                 atomic.Bool
	isDraining                   atomic.Bool
	drainRequested               chan struct{}
}

// New assembles an instance from validated settings.
func New(s params.Settings, logger zerolog.Logger) (*Entry, error) {
	root, err := s.RootAuthority()
	if err != nil {
		return nil, err
	}
	token, err := s.Token()
	if err != nil {
		return nil, err
	}
	e := &Entry{
		settings: s, logger: logger, meter: meter.New(), drainRequested: make(chan struct{}, 1), started: tick.Now(),
	}
	dialer := httpj.Dialer(s.LocalIP())
	platform := e.platformBytes.Client(httpj.NewClient(dialer, maxPlatformConns))
	log := logio.NewHTTP(s.Platform, platform)
	if err := e.configurePeerTLS(s); err != nil {
		return nil, err
	}
	dial := e.peerDialer(dialer)
	e.lister = lister.New(roster.NewHTTP(s.Platform, platform), logger)
	incarnation := newIncarnation()
	e.member = member.New(member.Options{
		Self: ident.Instance(s.Name), Domain: ident.Domain(s.Domain), Address: s.Peer, Incarnation: incarnation,
		Term: s.LeaseTerm, HeartbeatInterval: s.Heartbeat, Seeds: s.Seeds, Log: log, Dial: dial, Roster: e.lister.List,
		Logger: logger, Now: tick.Now, NewIncarnation: newIncarnation,
		SnapshotRecords: s.SnapshotRecords, SnapshotInterval: s.SnapshotInterval,
	})
	e.rollout = rollo.New(rollo.Options{
		Root: root, Log: log, Peers: e.member.Peers, Dial: dial, Logger: logger, Now: tick.Now,
		IsOwner: e.member.IsOwner, SnapshotRecords: s.SnapshotRecords, SnapshotInterval: s.SnapshotInterval,
	})
	control := e.executorBytes.Client(httpj.NewClient(dialer, maxExecutorControlConns))
	e.sched = sched.New(sched.Options{
		Domain: ident.Domain(s.Domain), Ownership: e.member, Changed: e.member.Changed(), Roster: e.lister.List,
		Logger: logger, Now: tick.Now,
		Exec: execio.NewHTTP("http", execio.NewRequestClient(s.LocalIP(), s.ExecutorConnections, nil), control),
	})
	e.assembleRequestPath(s, dial)
	e.placer = placer.New(placer.Options{
		Domain: ident.Domain(s.Domain), Domains: s.DomainIDs(), Member: e.member, Log: log,
		Workers: workio.NewHTTP(s.Platform, platform), Roster: e.lister.List, Config: e.rollout.InForce, Dial: dial,
		LongestLease: e.rollout.LongestWorkerLease, Logger: logger, Now: tick.Now,
		SnapshotRecords: s.SnapshotRecords, SnapshotInterval: s.SnapshotInterval,
	})
	e.assembleServers(s, incarnation, token)
	e.member.SetReporter(reporter{e})
	return e, nil
}

func newIncarnation() ident.Incarnation { return ident.Incarnation(tick.Wall().UnixMilli()) }

// assembleRequestPath creates the services that route requests and handle idempotency keys.
func (e *Entry) assembleRequestPath(s params.Settings, dial func(string) wire.Peer) {
	hop := hopio.NewHTTP(
		execio.NewHTTP(e.peerScheme, execio.NewRequestClient(s.LocalIP(), maxHopConns, e.peerClientTLS), nil))
	e.router = route.New(route.Options{
		Domain: ident.Domain(s.Domain), Local: e.sched, Peers: e.member.Peers, Hop: hop, Now: tick.Now, Wall: tick.Wall,
		OnRetry: func(service ident.Service) {
			e.meter.Count("retries", map[string]string{"service": string(service)}, 1)
		},
	})
	e.keyed = keyed.New(keyed.Options{
		Self: ident.Instance(s.Name), Domain: ident.Domain(s.Domain), Domains: s.DomainIDs(), Member: e.member,
		Router: e.router, Hop: hop, Dial: dial, Config: e.rollout.InForce, Logger: e.logger, Now: tick.Now,
	})
}

func (e *Entry) assembleServers(s params.Settings, incarnation ident.Incarnation, token string) {
	e.front = front.New(front.Options{
		Name: ident.Instance(s.Name), Incarnation: incarnation, Router: e.router, Keyed: e.keyed, Config: e.rollout.InForce,
		EntryInstances: func(now tick.Time) int { return len(e.member.Peers(now)) + 1 }, Meter: e.meter, Logger: e.logger,
		Now: tick.Now, IsReady: e.IsReady,
	})
	e.peersv = peersv.New(peersv.Options{
		Member: e.member, Sched: e.sched, Keyed: e.keyed, Rollout: e.rollout, Placer: e.placer, Now: tick.Now,
		Wall: tick.Wall,
	})
	e.opersv = opersv.New(opersv.Options{
		Name: ident.Instance(s.Name), Domain: ident.Domain(s.Domain), Token: token, Member: e.member, Sched: e.sched,
		Rollout: e.rollout, Placer: e.placer, Meter: e.meter, Now: tick.Now, IsReady: e.IsReady, Drain: e.requestDrain,
	})
}

// configurePeerTLS sets the URL scheme and the TLS configurations for connections between instances.
func (e *Entry) configurePeerTLS(s params.Settings) error {
	credentials, err := s.PeerCredentials()
	if err != nil {
		return err
	}
	e.peerScheme = "http"
	if credentials != nil {
		e.peerScheme, e.peerClientTLS, e.peerServerTLS = "https", credentials.Client(), credentials.Server()
	}
	return nil
}

// peerDialer returns a function that returns the twirp client for an instance's address. Clients are cached.
func (e *Entry) peerDialer(d *net.Dialer) func(address string) wire.Peer {
	client := httpj.NewClient(d, maxPeerConns)
	if t, ok := client.Transport.(*http.Transport); ok {
		t.TLSClientConfig = e.peerClientTLS
	}
	client = e.peerBytes.Client(client)
	cache, _ := lru.New[string, wire.Peer](maxPeerClients)
	return func(address string) wire.Peer {
		if p, ok := cache.Get(address); ok {
			return p
		}
		p := wire.NewPeerProtobufClient(e.peerScheme+"://"+address, client)
		cache.Add(address, p)
		return p
	}
}

// IsReady reports whether the load balancer should send requests to this instance. A new instance is not ready until
// it has taken over the idempotency keys of its domain and knows an owner for each service. Once it has been ready, or
// after warmUpTimeout, one service with a known owner is enough.
func (e *Entry) IsReady() bool {
	b := e.rollout.InForce()
	if e.isDraining.Load() || b == nil {
		return false
	}
	now := tick.Now()
	routable := 0
	for name := range b.Services {
		if e.router.HasOwner(now, name) {
			routable++
		}
	}
	isComplete := routable == len(b.Services) && e.keyed.IsReady()
	if isComplete {
		e.hasBeenReady.Store(true)
	}
	return e.hasBeenReady.Load() && routable > 0 || routable > 0 && now.Sub(e.started) > warmUpTimeout
}

func (e *Entry) requestDrain() { wake.Send(e.drainRequested) }

// reporter provides the loads and the configuration version that this instance sends in heartbeats.
type reporter struct{ e *Entry }

// Loads implements member.Reporter.
func (r reporter) Loads(now tick.Time) []*wire.ServiceLoad { return r.e.sched.Loads(now) }

// HeldSlots implements member.Reporter.
func (r reporter) HeldSlots(now tick.Time) []*wire.HeldKey { return r.e.sched.HeldSlots(now) }

// Version implements member.Reporter.
func (r reporter) Version() ident.Version { return r.e.rollout.Version() }

// supervisor returns the supervisor tree of the long-lived services.
func (e *Entry) supervisor() *suture.Supervisor {
	root := suprv.New("ibischute", e.logger)
	platform := suprv.New("platform", e.logger)
	platform.Add(e.lister)
	root.Add(platform)
	domain := suprv.New("domain", e.logger)
	domain.Add(e.member.Tail())
	domain.Add(e.member.HeartbeatService())
	domain.Add(e.keyed.Sync())
	root.Add(domain)
	config := suprv.New("config", e.logger)
	config.Add(e.rollout.Tail())
	config.Add(e.rollout.PeerSync())
	root.Add(config)
	work := suprv.New("work", e.logger)
	work.Add(e.sched.Watch())
	work.Add(e.placer.Tail())
	work.Add(e.placer.Committer())
	work.Add(e.placer.Loop())
	work.Add(suprv.Every("gauges", gaugeInterval, func(context.Context) { e.updateGauges(tick.Now()) }))
	root.Add(work)
	return root
}

const gaugeInterval = 2 * time.Second

func (e *Entry) updateGauges(now tick.Time) {
	set := func(name string, v float64) { e.meter.Gauge(name, nil, v) }
	set("members", float64(e.member.View().Len()))
	set("peers", float64(len(e.member.Peers(now))))
	set("lease_left_seconds", max(0, e.member.LeaseUntil(now).Sub(now).Seconds()))
	set("config_version", float64(e.rollout.Version()))
	set("requests_in_flight", float64(e.front.InFlight()))
	set("slots_in_use", float64(e.sched.InFlight()))
	for to, traffic := range map[string]*httpj.Traffic{
		"platform": &e.platformBytes, "peers": &e.peerBytes, "executors": &e.executorBytes,
	} {
		e.meter.Gauge("control_bytes", map[string]string{"to": to}, float64(traffic.Bytes()))
	}
	for _, l := range e.sched.Loads(now) {
		labels := map[string]string{"service": l.GetService()}
		e.meter.Gauge("slots_free", labels, float64(l.GetFree()))
		e.meter.Gauge("queue_length", labels, float64(l.GetQueued()))
	}
}
