// Package wire holds the messages between entry instances and the records of the log, with the twirp service.
//
// wire.proto is the source; `make generate` rebuilds the rest, which is committed.
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

// The metadata keys that carry a failure in a twirp error.
const (
	MetaCode = "ibischute-code"
	MetaRan  = "ibischute-ran"
)

// Fault returns the failure that a peer reported, or one that the call itself met.
func Fault(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta(MetaCode) == "" {
		return fault.Wrap(err, fault.CodeUnavailable, fault.Unknown, "peer call failed")
	}
	return fault.New(fault.Code(te.Meta(MetaCode)), fault.Ran(te.Meta(MetaRan)), te.Msg())
}
