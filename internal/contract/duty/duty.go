// Package duty defines the calls to the platform that one instance makes for the whole fleet.
//
// The holder of a duty changes over time. Each change raises the duty's term, a fencing token that
// accompanies every call, so that the platform can refuse calls of earlier holders.
package duty

import (
	"context"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindSuperseded means that the platform has seen a higher term; nothing was done.
	KindSuperseded Kind = "superseded"
	// KindBusy means that the platform accepts no calls at the moment; nothing was done.
	KindBusy Kind = "busy"
	// KindPaced means that this instance did not make the call, to keep to the number of calls that the platform accepts.
	KindPaced Kind = "paced"
	// KindUnavailable means that no valid answer came; the call may take effect, also later.
	KindUnavailable Kind = "unavailable"
	// KindRejected means that the platform refused the call for another reason.
	KindRejected Kind = "rejected"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// KindOf returns the kind of the error, or "" for an error of another package.
func KindOf(err error) Kind { return fault.KindOf[Kind](err) }

// Name names a duty.
type Name string

// Duties.
const (
	// Metering reports the requests of each workspace.
	Metering Name = "metering"
	// Scaling orders the number of backend servers.
	Scaling Name = "scaling"
)

// Term numbers the successive holders of a duty. It never comes twice.
type Term uint64

// Authority names the holder of a duty and its term.
type Authority struct {
	Holder ident.Instance
	Term   Term
}

// Period numbers a span of true time for which usage is reported. Period k begins k times the
// length of a period after the Unix epoch.
type Period int64

// Usage holds the requests of each workspace that began to run in one period.
type Usage struct {
	Period Period                            `json:"period"`
	Counts map[declaration.WorkspaceName]int `json:"counts"`
}

// Order is the number of servers that a service should have in one availability zone.
type Order struct {
	Service declaration.ServiceName
	Zone    declaration.ZoneName
	Servers int
}

// Platform calls the platform's interface for duties. Its functions are set by the adapter.
type Platform struct {
	ReportFunc func(ctx context.Context, authority Authority, usage Usage) error
	ScaleFunc  func(ctx context.Context, authority Authority, order Order) error
}

// Report submits the usage of one period.
func (p *Platform) Report(ctx context.Context, authority Authority, usage Usage) error {
	return p.ReportFunc(ctx, authority, usage)
}

// Scale orders the number of servers of a service in a zone.
func (p *Platform) Scale(ctx context.Context, authority Authority, order Order) error {
	return p.ScaleFunc(ctx, authority, order)
}
