package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/pkg/tick"

	"github.com/ibischute/ibischute/pkg/fault"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 32 << 10
	// drainNoticePeriod is how long a stopping instance still accepts requests, so that the load balancer and its peers
	// can stop sending them.
	drainNoticePeriod = 2 * time.Second
	handOverTimeout   = 2 * time.Second
	drainPollInterval = 20 * time.Millisecond
	// minShutdownTimeout is granted to each server even if the drain time is over.
	minShutdownTimeout = time.Second
)

type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

func (e *Entry) listen(ctx context.Context, name, address string, h http.Handler) (*server, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeSetting, fault.NotRun, "listen on --"+name+"-address")
	}
	return &server{name: name, listener: l, http: &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}, nil
}

// Run serves until the context ends or a drain is requested, and then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	servers, err := e.listenAll(ctx)
	if err != nil {
		return err
	}
	serviceCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	serveErrs := make(chan error, len(servers)+1)
	for _, s := range servers {
		go func() { serveErrs <- s.http.Serve(s.listener) }()
	}
	servicesDone := e.supervisor().ServeBackground(serviceCtx)
	e.logger.Info().Str("domain", e.settings.Domain).Str("caller-address", e.settings.Caller).
		Str("peer-address", e.settings.Peer).Str("operator-address", e.settings.Operator).Msg("started")
	select {
	case <-ctx.Done():
	case <-e.drainRequested:
	case err := <-serveErrs:
		return fault.Wrap(err, fault.CodeInternal, fault.Unknown, "HTTP server stopped unexpectedly")
	}
	e.stop(serviceCtx, servers)
	stopServices()
	if err := <-servicesDone; err != nil && !errors.Is(err, context.Canceled) {
		e.logger.Warn().Err(err).Msg("supervisor-failed")
	}
	if err := e.meter.Close(); err != nil {
		e.logger.Debug().Err(err).Msg("metrics-not-closed")
	}
	e.logger.Info().Msg("stopped")
	return nil
}

func (e *Entry) listenAll(ctx context.Context) ([]*server, error) {
	var out []*server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"caller", e.settings.Caller, e.disableKeepAliveWhileDraining(e.front.Handler())},
		{"peer", e.settings.PeerListen, e.peersv.Handler()},
		{"operator", e.settings.Operator, e.opersv.Handler()},
	} {
		srv, err := e.listen(ctx, s.name, s.address, s.handler)
		if err != nil {
			for _, open := range out {
				_ = open.listener.Close()
			}
			return nil, err
		}
		if s.name == "peer" {
			srv.listener = e.peerBytes.Listener(srv.listener)
			if e.peerServerTLS != nil {
				srv.listener = tls.NewListener(srv.listener, e.peerServerTLS)
			}
		}
		out = append(out, srv)
	}
	return out, nil
}

// disableKeepAliveWhileDraining sets `Connection: close` on answers while the instance is stopping, so that callers
// send no further requests on their connections.
func (e *Entry) disableKeepAliveWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.isDraining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop hands over the stored idempotency keys, leaves the domain's view, still accepts requests for drainNoticePeriod,
// waits for the requests in flight, and shuts down the servers.
func (e *Entry) stop(ctx context.Context, servers []*server) {
	e.logger.Info().Int("in-flight", e.front.InFlight()).Msg("stopping")
	deadline := tick.Now().Add(e.settings.DrainTime)
	e.isDraining.Store(true)
	e.member.SetDraining()
	e.sched.Stop()
	e.keyed.Stop()
	e.handOver(ctx)
	e.member.Announce(ctx)
	tick.Pause(ctx, min(drainNoticePeriod, deadline.Sub(tick.Now())))
	e.awaitInFlight(ctx, deadline)
	for _, s := range servers {
		e.shutdown(ctx, s, deadline)
	}
}

func (e *Entry) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	e.keyed.HandOver(ctx)
	if err := e.member.Leave(ctx); err != nil {
		e.logger.Warn().Err(err).Msg("leave-not-recorded")
	}
}

func (e *Entry) awaitInFlight(ctx context.Context, deadline tick.Time) {
	for tick.Now().Before(deadline) {
		if e.front.InFlight()+e.peersv.InFlight()+e.sched.InFlight() == 0 {
			return
		}
		tick.Pause(ctx, drainPollInterval)
	}
	e.logger.Warn().Int("in-flight", e.front.InFlight()).Msg("drain-timeout")
}

func (e *Entry) shutdown(ctx context.Context, s *server, deadline tick.Time) {
	ctx, cancel := context.WithTimeout(ctx, max(minShutdownTimeout, deadline.Sub(tick.Now())))
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		e.logger.Warn().Err(err).Str("server", s.name).Msg("connections-force-closed")
		_ = s.http.Close()
	}
}
