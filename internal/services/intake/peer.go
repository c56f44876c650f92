package intake

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/ibischute/ibischute/internal/modules/httpj"
	"github.com/ibischute/ibischute/internal/modules/jobpb"
	"github.com/ibischute/ibischute/internal/modules/logs"
	"github.com/ibischute/ibischute/internal/state/book"
	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/queue"
	"github.com/ibischute/ibischute/pkg/tick"
)

// PeerServer serves the other instances.
type PeerServer struct {
	intake *Intake
}

// NewPeerServer returns the server for the other instances.
func NewPeerServer(i *Intake) *PeerServer { return &PeerServer{intake: i} }

// Show implements jobpb.Jobs.
func (p *PeerServer) Show(_ context.Context, r *jobpb.ShowRequest) (*jobpb.ShowResponse, error) {
	state, known, err := p.intake.Show(tick.Now(), r.Job)
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &jobpb.ShowResponse{Known: known, State: state}, nil
}

// CountWaiting implements jobpb.Jobs.
func (p *PeerServer) CountWaiting(
	_ context.Context, r *jobpb.CountWaitingRequest,
) (*jobpb.CountWaitingResponse, error) {
	n, err := p.intake.opts.Leader.Waiting(tick.Now(), queue.Name(r.Queue))
	if err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
	}
	return &jobpb.CountWaitingResponse{Waiting: uint32(n)}, nil
}

// Record implements jobpb.Jobs. The codes Unavailable and InvalidArgument guarantee that the record was not stored.
// With any other code the outcome is unknown.
func (p *PeerServer) Record(ctx context.Context, r *jobpb.RecordRequest) (*jobpb.RecordResponse, error) {
	rec := logs.Record{Key: r.Key, Value: r.Intake}
	if err := book.CheckSubmission(rec); err != nil {
		return nil, twirp.WrapError(twirp.NewError(twirp.InvalidArgument, err.Error()), err)
	}
	if p.intake.opts.Replica.HasSubmission(rec.Key) {
		return &jobpb.RecordResponse{}, nil
	}
	if err := p.intake.inDoubtError(rec, p.intake.untilStored(ctx, rec, p.intake.append)); err != nil {
		code := twirp.Unknown
		if fault.IsErrNotRun(err) {
			code = twirp.Unavailable
		}
		return nil, twirp.WrapError(twirp.NewError(code, err.Error()), err)
	}
	p.intake.inDoubt.Remove(rec.Key)
	p.intake.opts.Replica.Add(rec)
	return &jobpb.RecordResponse{}, nil
}

// Yield implements jobpb.Jobs.
func (p *PeerServer) Yield(_ context.Context, r *jobpb.YieldRequest) (*jobpb.YieldResponse, error) {
	return p.intake.opts.Elector.AnswerYield(tick.Now(), r.Epoch, r.Cores), nil
}

// AskYield returns a function that asks the instance at an address to give up the lead of an epoch.
func AskYield(
	client *http.Client,
) func(ctx context.Context, address string, epoch uint64, cores float64) (*jobpb.YieldResponse, error) {
	return func(ctx context.Context, address string, epoch uint64, cores float64) (*jobpb.YieldResponse, error) {
		request := &jobpb.YieldRequest{Epoch: epoch, Cores: cores}
		res, err := jobpb.NewJobsProtobufClient("http://"+address, client).Yield(ctx, request)
		if err != nil {
			return nil, translateLeaderError(err)
		}
		return res, nil
	}
}

// isResponse reports whether the error of a call to the leader is a response of an instance. That includes a response
// that the outcome of an append is unknown.
func isResponse(err error) bool {
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta("http_error_from_intermediary") != "" {
		return false
	}
	return te.Code() == twirp.Unavailable || te.Code() == twirp.Unknown || te.Code() == twirp.InvalidArgument
}

// translateLeaderError translates the error of a call to the leader into one that says whether the call has run.
func translateLeaderError(err error) *fault.Error {
	var te twirp.Error
	// Twirp also gives this code to HTTP errors of intermediaries, which do not tell whether the call has run.
	if errors.As(err, &te) && te.Meta("http_error_from_intermediary") == "" &&
		(te.Code() == twirp.Unavailable || te.Code() == twirp.InvalidArgument) {
		return fault.Wrap(err, fault.CodeUnavailable, fault.NotRun, "the lead could not")
	}
	if httpj.IsDialError(err) {
		return fault.Wrap(err, fault.CodeNotSent, fault.NotRun, "the lead was not reached")
	}
	return fault.Wrap(err, fault.CodeUnknownOutcome, fault.Unknown, "the lead did not answer")
}
