package declaration

import "example.com/dotterelwell/internal/machine/fault"

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindInvalid marks a declaration that breaks a rule.
	KindInvalid Kind = "invalid"
	// KindSyntax marks a document that is not TOML or has unknown keys.
	KindSyntax Kind = "syntax"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

func newError(op string, kind Kind, format string, args ...any) *Error {
	return fault.Newf(op, kind, format, args...)
}
