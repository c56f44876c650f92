// Package problem writes errors as application/problem+json.
//
// # Usage
//
//	problem.Write(w, requestID, err)
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/ibischute/ibischute/pkg/fault"
	"github.com/ibischute/ibischute/pkg/ident"
)

// Problem is the body of an error response.
type Problem struct {
	Type         string        `json:"type"`
	Title        string        `json:"title"`
	Status       int           `json:"status"`
	Detail       string        `json:"detail"`
	Code         fault.Code    `json:"code"`
	Ran          fault.Ran     `json:"ran"`
	RetryAfterMS int64         `json:"retry-after-ms,omitempty"`
	Request      ident.Request `json:"request-id,omitempty"`
}

// statusClientClosedRequest is the non-standard status, used by nginx, for a client that closed the connection before
// the answer.
const statusClientClosedRequest = 499

var statusByCode = map[fault.Code]int{
	fault.CodeBadRequest:     http.StatusBadRequest,
	fault.CodeNotFound:       http.StatusNotFound,
	fault.CodeConflict:       http.StatusConflict,
	fault.CodeOverloaded:     http.StatusServiceUnavailable,
	fault.CodeRateLimited:    http.StatusTooManyRequests,
	fault.CodeDeadline:       http.StatusGatewayTimeout,
	fault.CodeCancelled:      statusClientClosedRequest,
	fault.CodeNoOwner:        http.StatusServiceUnavailable,
	fault.CodeNoCapacity:     http.StatusServiceUnavailable,
	fault.CodeNotReady:       http.StatusServiceUnavailable,
	fault.CodeDraining:       http.StatusServiceUnavailable,
	fault.CodeBackend:        http.StatusBadGateway,
	fault.CodeTruncated:      http.StatusBadGateway,
	fault.CodeUnknownOutcome: http.StatusBadGateway,
	fault.CodeUnavailable:    http.StatusServiceUnavailable,
	fault.CodeUnauthorized:   http.StatusUnauthorized,
	fault.CodeIllegalState:   http.StatusConflict,
	fault.CodeNotSent:        http.StatusServiceUnavailable,
}

// Write sends the error as the response.
func Write(w http.ResponseWriter, id ident.Request, err error) {
	f := fault.From(err)
	status, ok := statusByCode[f.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.Header().Set("Ibischute-Ran", string(f.Ran))
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: f.Detail, Code: f.Code, Ran: f.Ran,
		RetryAfterMS: int64(f.RetryAfter / time.Millisecond), Request: id,
	})
}
