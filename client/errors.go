package client

import (
	"errors"
	"fmt"
)

// Kinds of failure, for errors.Is.
var (
	// ErrMalformed means that the request is invalid. It was not retried.
	ErrMalformed = errors.New("the request is malformed")
	// ErrImpossible means that the cluster can never run this job. The request was not retried.
	ErrImpossible = errors.New("the job can never run on this cluster")
	// ErrNotNow means that the request was not confirmed in time. It may have taken effect all the
	// same, so it should be repeated with the same job id.
	ErrNotNow = errors.New("no controller takes the request now")
	// ErrUnknown means that no job with this id was submitted.
	ErrUnknown = errors.New("no such job")
)

// Error is a failed request, with the server's message about the failure.
type Error struct {
	Kind   error // one of the errors above
	Status int   // HTTP status of the last response, 0 without a response
	Text   string
	Tries  int // how often the request was sent to controllers
}

// Error returns the text of the kind, the server's message and, for ErrNotNow, the number of tries.
func (e *Error) Error() string {
	s := e.Kind.Error()
	if e.Text != "" {
		s += ": " + e.Text
	}
	if errors.Is(e.Kind, ErrNotNow) {
		s += fmt.Sprintf(" (%d tries)", e.Tries)
	}
	return s
}

// Unwrap returns the kind, so that errors.Is matches it.
func (e *Error) Unwrap() error { return e.Kind }
