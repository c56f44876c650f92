// Package relay copies a response to the caller. A response that cannot be copied completely is visibly aborted.
//
// # Usage
//
//	if err := relay.CopyResponse(w, answer); err != nil {
//		relay.Abort()
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

// hopByHopHeaders are the headers that apply to a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Proxy-Connection",
}

// EndToEnd returns a copy of the headers without the hop-by-hop headers.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// CopyResponse streams the response to w. It returns an error if the response could not be copied completely; the
// handler must then call Abort.
func CopyResponse(w http.ResponseWriter, a *execio.Answer) error {
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
				return fault.Wrap(writeErr, fault.CodeCancelled, fault.Unknown, "caller disconnected before the response ended")
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

// Abort aborts the handler and closes the connection, so that the caller cannot mistake a truncated response for a
// complete one. It panics with http.ErrAbortHandler.
func Abort() { panic(http.ErrAbortHandler) }
