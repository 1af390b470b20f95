package client

import (
	"errors"
	"fmt"
)

// Kinds of failure, for errors.Is.
var (
	// ErrMalformed: the request can never be understood. It was not retried.
	ErrMalformed = errors.New("the request is malformed")
	// ErrImpossible: the cluster can never run this job. It was not retried.
	ErrImpossible = errors.New("the job can never run here")
	// ErrNotNow: no controller took the request in time. It may have been taken all the
	// same; the same id can be used again.
	ErrNotNow = errors.New("no controller takes the request now")
	// ErrUnknown: nobody submitted a job with this id.
	ErrUnknown = errors.New("no such job")
)

// Error is a failure with what the controller said about it.
type Error struct {
	Kind   error // one of the above
	Status int   // of the last response, 0: there was none
	Text   string
	Tries  int
}

// Error gives the kind and what the controller said.
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

// Unwrap gives the kind.
func (e *Error) Unwrap() error { return e.Kind }
