// Package fault is the typed error that every layer of ibischute reports to callers and operators.
//
// An Error says what went wrong (Code), whether the request it concerns ran (Ran), and when it makes sense to come
// back (RetryAfter). Ran is NotRun only where that is proved.
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

// Code is the kind of a failure, stable across releases.
type Code string

// The codes of the failures.
const (
	CodeBadRequest     Code = "bad-request"
	CodeNotFound       Code = "not-found"
	CodeConflict       Code = "conflict"
	CodeOverloaded     Code = "overloaded"
	CodeRateLimited    Code = "rate-limited"
	CodeDeadline       Code = "deadline-exceeded"
	CodeCancelled      Code = "cancelled"
	CodeNoOwner        Code = "no-owner"
	CodeNoCapacity     Code = "no-capacity"
	CodeNotReady       Code = "not-ready"
	CodeDraining       Code = "draining"
	CodeBackend        Code = "backend-failed"
	CodeTruncated      Code = "answer-truncated"
	CodeUnknownOutcome Code = "outcome-unknown"
	CodeUnavailable    Code = "platform-unavailable"
	CodeTrimmed        Code = "offset-trimmed"
	CodeUnauthorized   Code = "unauthorized"
	CodeInternal       Code = "internal"
	CodeIllegalState   Code = "illegal-transition"
	CodeSetting        Code = "bad-setting"
	CodeNotSent        Code = "not-sent"
)

// Ran states whether a request reached execution.
type Ran string

// The possible knowledge about execution.
const (
	NotRun  Ran = "no"
	Unknown Ran = "unknown"
)

// Error is a failure with its code, what is known about execution, and advice on when to retry.
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

// WithRetry returns a copy that advises to come back after d.
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

// From returns the Error within err, or one with CodeInternal and Ran Unknown.
func From(err error) *Error {
	var fe *Error
	if errors.As(err, &fe) {
		return fe
	}
	return Wrap(err, CodeInternal, Unknown, "unexpected failure")
}

// FromContext returns the failure of work whose context has ended.
func FromContext(ctx context.Context, ran Ran) *Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return New(CodeDeadline, ran, "the deadline passed").WithRetry(retryAfterDeadline)
	}
	return New(CodeCancelled, ran, "the caller left")
}

// retryAfterDeadline is the advice to a caller whose deadline passed.
const retryAfterDeadline = 100 * time.Millisecond

// IsErrCode reports whether err carries an Error with the code.
func IsErrCode(err error, code Code) bool {
	var fe *Error
	return errors.As(err, &fe) && fe.Code == code
}

// IsErrNotRun reports whether err proves that the request did not run.
func IsErrNotRun(err error) bool {
	var fe *Error
	return errors.As(err, &fe) && fe.Ran == NotRun
}
