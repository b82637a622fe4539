package fault

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// Code identifies the kind of an error. It is part of the API for callers.
type Code string

// The error codes.
const (
	BadRequest      Code = "bad-request"
	TooLarge        Code = "too-large"
	Unauthorized    Code = "unauthorized"
	NoRoute         Code = "no-route"
	NoServer        Code = "no-server"
	NoCover         Code = "no-cover"
	Overloaded      Code = "overloaded"
	OverLimit       Code = "over-limit"
	Deadline        Code = "deadline"
	Draining        Code = "draining"
	Poisoned        Code = "poisoned"
	StoreDown       Code = "store-down"
	Conflict        Code = "conflict"
	NotFound        Code = "not-found"
	IDNeeded        Code = "id-needed"
	IDReused        Code = "id-reused"
	Repeated        Code = "repeated"
	InvalidResponse Code = "broken-answer"
	ServerFailed    Code = "server-failed"
	ServerRefused   Code = "server-refused"
	Cancelled       Code = "cancelled"
	Internal        Code = "internal"
)

// Error is an error on the request path.
type Error struct {
	// Code is the kind of the error.
	Code Code
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Message describes the error to a person.
	Message string
	// Field is the name of the invalid input field, if any.
	Field string
	// Server is the name of the backend server that caused the error, if any.
	Server string
	// RetryAfter is the time after which a retry may succeed; zero means that a
	// retry does not help.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// maxCause bounds the text of a cause in bytes: it may quote what a server in trouble has sent.
const maxCause = 512

// Error returns the code, the field, the message and the cause in one line. A long cause is cut short.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(string(e.Code))
	if e.Field != "" {
		b.WriteString(": ")
		b.WriteString(e.Field)
	}
	if e.Message != "" {
		b.WriteString(": ")
		b.WriteString(e.Message)
	}
	if e.Cause != nil {
		b.WriteString(": ")
		cause := e.Cause.Error()
		b.WriteString(cause[:min(len(cause), maxCause)])
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// As returns err as an *Error. Any other error becomes Internal with verdict
// MayHaveRun, since nothing is known about it.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Code: Internal, Verdict: MayHaveRun, Cause: err}
}

// Status returns the HTTP status code that a caller gets for the error.
func (e *Error) Status() int {
	switch e.Code {
	case BadRequest, IDNeeded:
		return http.StatusBadRequest
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	case Unauthorized:
		return http.StatusUnauthorized
	case NoRoute, NotFound:
		return http.StatusNotFound
	case OverLimit:
		return http.StatusTooManyRequests
	case Conflict, Repeated:
		return http.StatusConflict
	case IDReused, Poisoned:
		return http.StatusUnprocessableEntity
	case Deadline:
		return http.StatusGatewayTimeout
	case InvalidResponse, ServerFailed, ServerRefused:
		return http.StatusBadGateway
	case NoServer, NoCover, Overloaded, Draining, StoreDown:
		return http.StatusServiceUnavailable
	case Cancelled, Internal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}
