// Package relay copies an answer to the one who asked, whole or visibly cut.
//
// # Usage
//
//	if err := relay.Answer(w, answer); err != nil {
//		relay.Cut()
//	}
package relay

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/ibischute/ibischute/internal/modules/execio"
	"github.com/ibischute/ibischute/pkg/fault"
)

const bufferSize = 32 << 10

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Proxy-Connection",
}

// EndToEnd returns a copy of the headers without those that concern one connection only.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// Answer streams the answer to w and returns an error if it could not be passed on whole. The handler then calls Cut.
func Answer(w http.ResponseWriter, a *execio.Answer) error {
	defer a.Body.Close()
	for name, values := range EndToEnd(a.Header) {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	flusher, _ := w.(http.Flusher)
	isStream := a.Header.Get("Content-Length") == ""
	buf := make([]byte, bufferSize)
	for {
		n, err := a.Body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return fault.Wrap(writeErr, fault.CodeCancelled, fault.Unknown, "the reader left")
			}
			if isStream && err == nil && flusher != nil {
				flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Cut ends the handler and the connection, so that the reader cannot take a part for the whole.
func Cut() { panic(http.ErrAbortHandler) }
