// Package peersv serves the other entry instances: the twirp service and forwarded requests.
//
// # Usage
//
//	p := peersv.New(options)
//	server := &http.Server{Handler: p.Handler()}
package peersv

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/twitchtv/twirp"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/internal/modules/hopio"
	"github.com/ibischute/ibischute/internal/modules/relay"
	"github.com/ibischute/ibischute/internal/modules/wire"
	"github.com/ibischute/ibischute/internal/services/keyed"
	"github.com/ibischute/ibischute/internal/services/member"
	"github.com/ibischute/ibischute/internal/services/placer"
	"github.com/ibischute/ibischute/internal/services/rollo"
	"github.com/ibischute/ibischute/internal/services/route"
	"github.com/ibischute/ibischute/internal/services/sched"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
	"github.com/ibischute/ibischute/pkg/tick"
)

// maxForwardedRequests limits the forwarded requests in flight at this instance.
const maxForwardedRequests = 8192

// Options are the dependencies of a Server.
type Options struct {
	Member  *member.Member
	Sched   *sched.Scheduler
	Keyed   *keyed.Keyed
	Rollout *rollo.Rollout
	Placer  *placer.Placer
	Now     func() tick.Time
	Wall    func() time.Time
}

// Server serves the peer API.
type Server struct {
	opts     Options
	inFlight atomic.Int64
}

// New returns a Server.
func New(o Options) *Server { return &Server{opts: o} }

// InFlight returns the number of forwarded requests in flight.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Handler returns the peer API.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	tw := wire.NewPeerServer(s)
	r.Mount(tw.PathPrefix(), tw)
	r.HandleFunc(hopio.PathPrefix+string(hopio.KindDispatch), s.handleHop(s.dispatch))
	r.HandleFunc(hopio.PathPrefix+string(hopio.KindKeyed), s.handleHop(s.keyed))
	return r
}

type hopFunc func(ctx context.Context, r *http.Request, m hopio.Meta) (*execio.Answer, error)

// handleHop decodes a forwarded request, runs it with its deadline and relays the answer.
func (s *Server) handleHop(run hopFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.inFlight.Add(1) > maxForwardedRequests {
			s.inFlight.Add(-1)
			hopio.Reject(w, fault.New(fault.CodeOverloaded, fault.NotRun, "too many requests under way"))
			return
		}
		defer s.inFlight.Add(-1)
		m, err := hopio.Decode(r)
		if err != nil {
			hopio.Reject(w, err)
			return
		}
		if m.NotAfterMS > 0 && s.opts.Wall().UnixMilli() > m.NotAfterMS {
			hopio.Reject(w, fault.New(fault.CodeNotSent, fault.NotRun, "the sender's right has lapsed"))
			return
		}
		r.Header.Del(hopio.HeaderMeta)
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(m.DeadlineMS)*time.Millisecond)
		defer cancel()
		answer, err := run(ctx, r, m)
		if err != nil {
			hopio.Reject(w, err)
			return
		}
		if err := relay.CopyResponse(w, answer); err != nil {
			relay.Abort()
		}
	}
}

func (s *Server) request(r *http.Request, m hopio.Meta) sched.Request {
	return sched.Request{
		Request: execio.Request{
			ID: m.ID, Method: r.Method, Path: m.Path, Header: relay.EndToEnd(r.Header), Body: r.Body, Length: r.ContentLength,
		},
		Service: m.Service, Class: m.Class, Tenant: m.Tenant, Priority: m.Priority, Share: m.Share, MaxQueue: m.MaxQueue,
		Deadline: s.opts.Now().Add(time.Duration(m.DeadlineMS) * time.Millisecond), Queue: m.Queue,
	}
}

func (s *Server) dispatch(ctx context.Context, r *http.Request, m hopio.Meta) (*execio.Answer, error) {
	return s.opts.Sched.Do(ctx, s.request(r, m))
}

func (s *Server) keyed(ctx context.Context, r *http.Request, m hopio.Meta) (*execio.Answer, error) {
	req := route.Request{Request: s.request(r, m), Idempotent: m.Idempotent, RetryPercent: m.RetryPercent}
	if err := route.ReadBody(r.Body, &req); err != nil {
		return nil, err
	}
	return s.opts.Keyed.Do(ctx, keyed.Request{Request: req, Key: m.Key, Fingerprint: m.Fingerprint, Hops: m.Hops})
}

// Exchange implements wire.Peer.
func (s *Server) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeResponse, error) {
	return s.opts.Member.HandleExchange(s.opts.Now(), req), nil
}

// CoSign implements wire.Peer.
func (s *Server) CoSign(_ context.Context, req *wire.CoSignRequest) (*wire.CoSignResponse, error) {
	return s.opts.Member.HandleCoSign(s.opts.Now(), req), nil
}

// FetchMembers implements wire.Peer.
func (s *Server) FetchMembers(_ context.Context, req *wire.FetchMembersRequest) (*wire.FetchMembersResponse, error) {
	res, err := s.opts.Member.HandleFetchMembers(req)
	return res, toTwirp(err)
}

// FetchConfig implements wire.Peer.
func (s *Server) FetchConfig(_ context.Context, req *wire.FetchConfigRequest) (*wire.FetchConfigResponse, error) {
	res, err := s.opts.Rollout.HandleFetch(req)
	return res, toTwirp(err)
}

// StoreIntent implements wire.Peer.
func (s *Server) StoreIntent(_ context.Context, req *wire.StoreIntentRequest) (*wire.StoreIntentResponse, error) {
	return s.opts.Keyed.HandleStore(req), nil
}

// FetchIntents implements wire.Peer.
func (s *Server) FetchIntents(context.Context, *wire.FetchIntentsRequest) (*wire.FetchIntentsResponse, error) {
	return s.opts.Keyed.HandleFetch(), nil
}

// SubmitJob implements wire.Peer.
func (s *Server) SubmitJob(ctx context.Context, req *wire.SubmitJobRequest) (*wire.JobStatus, error) {
	res, err := s.opts.Placer.Submit(ctx, req.GetSpec())
	return res, toTwirp(err)
}

// CancelJob implements wire.Peer.
func (s *Server) CancelJob(ctx context.Context, req *wire.JobRequest) (*wire.JobStatus, error) {
	res, err := s.opts.Placer.Cancel(ctx, ident.Job(req.GetId()))
	return res, toTwirp(err)
}

// ShowJob implements wire.Peer.
func (s *Server) ShowJob(_ context.Context, req *wire.JobRequest) (*wire.JobStatus, error) {
	res, err := s.opts.Placer.Show(ident.Job(req.GetId()))
	return res, toTwirp(err)
}

// ListJobs implements wire.Peer.
func (s *Server) ListJobs(_ context.Context, req *wire.ListJobsRequest) (*wire.ListJobsResponse, error) {
	return s.opts.Placer.List(int(req.GetLimit())), nil
}

// toTwirp converts an error to a twirp error, with the code and the ran value in its metadata.
func toTwirp(err error) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	return twirp.NewError(twirp.FailedPrecondition, f.Detail).
		WithMeta(wire.MetaCode, string(f.Code)).WithMeta(wire.MetaRan, string(f.Ran))
}
