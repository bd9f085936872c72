package declaration

import (
	"strings"
)

// Names of the things that operators declare. A name is 1 to 63 lower-case
// letters, digits, dots and hyphens, starting with a letter or digit.
type (
	// WorkspaceName names a customer's workspace.
	WorkspaceName string
	// RouteName names a route of a workspace; callers put it in the field model.
	RouteName string
	// ClassName names a class of requests that are alike in difficulty.
	ClassName string
	// ModelName names a model.
	ModelName string
	// VersionName names a version of a model.
	VersionName string
	// ServiceName names a plain service.
	ServiceName string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region.
	RegionName string
	// KeyName names a signing key.
	KeyName string
)

// Units of declared quantities.
type (
	// MicroCost is an amount of money in millionths of the currency unit.
	MicroCost int64
	// Percent is a share between 0 and 100.
	Percent float64
	// Quality is a rating between 0 (useless) and 1 (perfect).
	Quality float64
	// Millis is a span of time in milliseconds.
	Millis int64
)

// maxNameLength bounds a name, in bytes.
const maxNameLength = 63

// Ref names a model, or one version of it as model@version.
type Ref struct {
	Model   ModelName
	Version VersionName // empty for every version of the model
}

// ParseRef reads the forms model and model@version.
func ParseRef(s string) (Ref, error) {
	model, version, pinned := strings.Cut(s, "@")
	ref := Ref{Model: ModelName(model), Version: VersionName(version)}
	if !validName(model) || (pinned && !validName(version)) {
		return Ref{}, newError("parse model reference", KindInvalid, "%q is neither model nor model@version", s)
	}
	return ref, nil
}

// String formats the reference as model or model@version.
func (r Ref) String() string {
	if r.Version == "" {
		return string(r.Model)
	}
	return string(r.Model) + "@" + string(r.Version)
}

// Covers reports whether other is r or a version of the model that r names.
func (r Ref) Covers(other Ref) bool {
	return r.Model == other.Model && (r.Version == "" || r.Version == other.Version)
}

// MarshalText writes the reference as String does.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads what ParseRef reads.
func (r *Ref) UnmarshalText(text []byte) error {
	ref, err := ParseRef(string(text))
	if err != nil {
		return err
	}
	*r = ref
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i, c := range []byte(s) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if letter || (i > 0 && (c == '-' || c == '.')) {
			continue
		}
		return false
	}
	return true
}
