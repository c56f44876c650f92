// Package entry assembles an entry instance: the services under their supervisor and the servers in front of them.
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
	platformConnections = 64
	peerConnections     = 16
	controlConnections  = 8
	hopConnections      = 512
	maxPeerClients      = 512
	// warmUpTime is the longest wait of a new instance before it takes requests with what it knows.
	warmUpTime = 10 * time.Second
)

// Entry is an entry instance.
type Entry struct {
	settings params.Settings
	logger   zerolog.Logger
	meter    *meter.Meter
	// platformBytes, peerBytes and executorBytes count the traffic of control; handed-over requests are in peerBytes.
	platformBytes, peerBytes, executorBytes httpj.Traffic
	// peerScheme, peerClient and peerServer are how instances speak to each other; the latter two are nil without TLS.
	peerScheme             string
	peerClient, peerServer *tls.Config
	lister                 *lister.Lister
	member                 *member.Member
	sched                  *sched.Scheduler
	router                 *route.Router
	keyed                  *keyed.Keyed
	rollout                *rollo.Rollout
	placer                 *placer.Placer
	front                  *front.Front
	peersv                 *peersv.Server
	opersv                 *opersv.Server
	started                tick.Time
	warm                   atomic.Bool
	draining               atomic.Bool
	drain                  chan struct{}
}

// New assembles an instance from checked settings.
func New(s params.Settings, logger zerolog.Logger) (*Entry, error) {
	root, err := s.Root()
	if err != nil {
		return nil, err
	}
	token, err := s.Token()
	if err != nil {
		return nil, err
	}
	e := &Entry{settings: s, logger: logger, meter: meter.New(), drain: make(chan struct{}, 1), started: tick.Now()}
	dialer := httpj.Dialer(s.LocalIP())
	platform := e.platformBytes.Client(httpj.NewClient(dialer, platformConnections))
	log := logio.NewHTTP(s.Platform, platform)
	if err := e.securePeers(s); err != nil {
		return nil, err
	}
	dial := e.peerDialer(dialer)
	e.lister = lister.New(roster.NewHTTP(s.Platform, platform), logger)
	life := newIncarnation()
	e.member = member.New(member.Options{
		Self: ident.Instance(s.Name), Domain: ident.Domain(s.Domain), Address: s.Peer, Incarnation: life,
		Term: s.LeaseTerm, Beat: s.Heartbeat, Seeds: s.Seeds, Log: log, Dial: dial, Roster: e.lister.List, Logger: logger,
		Now: tick.Now, NewIncarnation: newIncarnation,
		SnapshotRecords: s.SnapshotRecords, SnapshotInterval: s.SnapshotInterval,
	})
	e.rollout = rollo.New(rollo.Options{
		Root: root, Log: log, Peers: e.member.Peers, Dial: dial, Logger: logger, Now: tick.Now,
		IsOwner: e.member.IsOwner, SnapshotRecords: s.SnapshotRecords, SnapshotInterval: s.SnapshotInterval,
	})
	control := e.executorBytes.Client(httpj.NewClient(dialer, controlConnections))
	e.sched = sched.New(sched.Options{
		Domain: ident.Domain(s.Domain), Own: e.member, Changed: e.member.Changed(), Roster: e.lister.List,
		Logger: logger, Now: tick.Now,
		Exec: execio.NewHTTP("http", execio.NewWork(s.LocalIP(), s.ExecutorConnections, nil), control),
	})
	e.assembleRequests(s, dial)
	e.placer = placer.New(placer.Options{
		Domain: ident.Domain(s.Domain), Domains: s.DomainIDs(), Member: e.member, Log: log,
		Workers: workio.NewHTTP(s.Platform, platform), Roster: e.lister.List, Config: e.rollout.InForce, Dial: dial,
		LongestLease: e.rollout.LongestWorkerLease, Logger: logger, Now: tick.Now,
		SnapshotRecords: s.SnapshotRecords, SnapshotInterval: s.SnapshotInterval,
	})
	e.assembleServers(s, life, token)
	e.member.SetReporter(reporter{e})
	return e, nil
}

func newIncarnation() ident.Incarnation { return ident.Incarnation(tick.Wall().UnixMilli()) }

// assembleRequests builds the path of requests.
func (e *Entry) assembleRequests(s params.Settings, dial func(string) wire.Peer) {
	hop := hopio.NewHTTP(execio.NewHTTP(e.peerScheme, execio.NewWork(s.LocalIP(), hopConnections, e.peerClient), nil))
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

func (e *Entry) assembleServers(s params.Settings, life ident.Incarnation, token string) {
	e.front = front.New(front.Options{
		Name: ident.Instance(s.Name), Life: life, Router: e.router, Keyed: e.keyed, Config: e.rollout.InForce,
		Parts: func(now tick.Time) int { return len(e.member.Peers(now)) + 1 }, Meter: e.meter, Logger: e.logger,
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

// securePeers sets how this instance speaks to others.
func (e *Entry) securePeers(s params.Settings) error {
	keys, err := s.PeerKeys()
	if err != nil {
		return err
	}
	e.peerScheme = "http"
	if keys != nil {
		e.peerScheme, e.peerClient, e.peerServer = "https", keys.Client(), keys.Server()
	}
	return nil
}

// peerDialer returns the twirp clients of other instances by their address.
func (e *Entry) peerDialer(d *net.Dialer) func(address string) wire.Peer {
	client := httpj.NewClient(d, peerConnections)
	if t, ok := client.Transport.(*http.Transport); ok {
		t.TLSClientConfig = e.peerClient
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

// IsReady reports whether the balancer should send callers here. A new instance waits until it has taken over its
// keys and knows an owner for each service, but no longer than warmUpTime; after that one reachable service is
// enough.
func (e *Entry) IsReady() bool {
	b := e.rollout.InForce()
	if e.draining.Load() || b == nil {
		return false
	}
	now := tick.Now()
	known := 0
	for name := range b.Services {
		if e.router.HasOwner(now, name) {
			known++
		}
	}
	isWarm := known == len(b.Services) && e.keyed.IsReady()
	if isWarm {
		e.warm.Store(true)
	}
	return e.warm.Load() && known > 0 || known > 0 && now.Sub(e.started) > warmUpTime
}

func (e *Entry) requestDrain() { wake.Send(e.drain) }

// reporter states this instance's loads and version in heartbeats.
type reporter struct{ e *Entry }

// Loads implements member.Reporter.
func (r reporter) Loads(now tick.Time) []*wire.ServiceLoad { return r.e.sched.Loads(now) }

// HeldSlots implements member.Reporter.
func (r reporter) HeldSlots(now tick.Time) []*wire.HeldKey { return r.e.sched.HeldSlots(now) }

// Version implements member.Reporter.
func (r reporter) Version() ident.Version { return r.e.rollout.Version() }

// supervisor returns the tree of the long-lived services.
func (e *Entry) supervisor() *suture.Supervisor {
	root := suprv.New("ibischute", e.logger)
	platform := suprv.New("platform", e.logger)
	platform.Add(e.lister)
	root.Add(platform)
	domain := suprv.New("domain", e.logger)
	domain.Add(e.member.Tail())
	domain.Add(e.member.Beat())
	domain.Add(e.keyed.Sync())
	root.Add(domain)
	config := suprv.New("config", e.logger)
	config.Add(e.rollout.Tail())
	config.Add(e.rollout.Spread())
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
