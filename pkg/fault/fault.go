// Package fault defines the typed error that every layer of ibischute reports to callers and operators.
//
// An Error states the kind of failure (Code), whether the request may have run (Ran), and when to retry (RetryAfter).
// Ran is NotRun only if it is proven that the request did not run.
//
// # Usage
//
//	return fault.New(fault.CodeOverloaded, fault.NotRun, "queue of class invoice is full").WithRetry(time.Second)
//	if fault.IsErrCode(err, fault.CodeOverloaded) { ... }
package fault

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Code is the kind of a failure. Codes are stable across releases.
type Code string

// The codes of the failures.
const (
	CodeBadRequest  Code = "bad-request"
	CodeNotFound    Code = "not-found"
	CodeConflict    Code = "conflict"
	CodeOverloaded  Code = "overloaded"
	CodeRateLimited Code = "rate-limited"
	CodeDeadline    Code = "deadline-exceeded"
	CodeCancelled   Code = "cancelled"
	// CodeNoOwner means that no instance that may act for the request was found or reached.
	CodeNoOwner    Code = "no-owner"
	CodeNoCapacity Code = "no-capacity"
	CodeNotReady   Code = "not-ready"
	CodeDraining   Code = "draining"
	CodeBackend    Code = "backend-failed"
	// CodeTruncated means that an answer ended early.
	CodeTruncated      Code = "answer-truncated"
	CodeUnknownOutcome Code = "outcome-unknown"
	CodeUnavailable    Code = "platform-unavailable"
	// CodeTrimmed means that the requested records or versions are not kept any more.
	CodeTrimmed      Code = "offset-trimmed"
	CodeUnauthorized Code = "unauthorized"
	CodeInternal     Code = "internal"
	CodeIllegalState Code = "illegal-transition"
	CodeSetting      Code = "bad-setting"
	// CodeNotSent means that the request was not sent, for example because the lease expired first.
	CodeNotSent Code = "not-sent"
)

// Ran states what is known about whether a request ran.
type Ran string

// The values of Ran.
const (
	NotRun  Ran = "no"
	Unknown Ran = "unknown"
)

// Error is a failure with its code, whether the request ran, and when to retry.
type Error struct {
	Code       Code
	Ran        Ran
	Detail     string
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error without a cause.
func New(code Code, ran Ran, detail string) *Error {
	return &Error{Code: code, Ran: ran, Detail: detail}
}

// Wrap returns an Error with a cause.
func Wrap(cause error, code Code, ran Ran, detail string) *Error {
	return &Error{Code: code, Ran: ran, Detail: detail, Cause: cause}
}

// WithRetry returns a copy with RetryAfter set to d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.Code) + ": " + e.Detail
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the Error in err's chain, or wraps err in an Error with CodeInternal and Unknown.
func From(err error) *Error {
	var fe *Error
	if errors.As(err, &fe) {
		return fe
	}
	return Wrap(err, CodeInternal, Unknown, "unexpected failure")
}

// FromContext returns the Error for work whose context has ended: CodeDeadline or CodeCancelled.
func FromContext(ctx context.Context, ran Ran) *Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return New(CodeDeadline, ran, "the deadline passed").WithRetry(deadlineRetryAfter)
	}
	return New(CodeCancelled, ran, "the caller left")
}

// deadlineRetryAfter is the RetryAfter of requests whose deadline passed.
const deadlineRetryAfter = 100 * time.Millisecond

// IsErrCode reports whether err's chain contains an Error with the code.
func IsErrCode(err error, code Code) bool {
	var fe *Error
	return errors.As(err, &fe) && fe.Code == code
}

// IsErrNotRun reports whether err proves that the request did not run.
func IsErrNotRun(err error) bool {
	var fe *Error
	return errors.As(err, &fe) && fe.Ran == NotRun
}
