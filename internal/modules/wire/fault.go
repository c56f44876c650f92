// Package wire contains the messages between entry instances, the records of the log, and the twirp service.
//
// wire.proto is the source; `make generate` regenerates the other files, which are committed.
//
// # Usage
//
//	peer := wire.NewPeerProtobufClient("http://127.0.0.1:7102", client)
//	res, err := peer.Exchange(ctx, req)
package wire

import (
	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"

	"github.com/ibischute/ibischute/pkg/fault"
)

// The metadata keys that carry a fault in a twirp error.
const (
	MetaCode = "ibischute-code"
	MetaRan  = "ibischute-ran"
)

// FaultFromError returns the fault that a peer reported, or CodeUnavailable with Ran Unknown if the call itself failed.
func FaultFromError(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta(MetaCode) == "" {
		return fault.Wrap(err, fault.CodeUnavailable, fault.Unknown, "peer call failed")
	}
	return fault.New(fault.Code(te.Meta(MetaCode)), fault.Ran(te.Meta(MetaRan)), te.Msg())
}
