// Package fault holds the shape that every package's error type shares: an operation and a kind.
package fault

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// Error is a package's error. K is that package's own kind type, so that
// errors of two packages are distinct types.
type Error[K ~string] struct {
	// Op names the operation that failed, in lower case.
	Op string
	// Kind tells callers how to react.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error formats the operation, the kind and the cause.
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Op, string(e.Kind))
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, string(e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error { return e.Err }

// New returns an error of kind for op with cause err.
func New[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Newf returns an error of kind for op with a formatted cause.
func Newf[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: errors.Newf(format, args...)}
}

// KindOf returns the kind of the first error of type Error[K] in err's chain, or "".
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
