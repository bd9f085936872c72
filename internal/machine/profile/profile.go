// Package profile is the vocabulary of what a process is told at its start: who it
// is, where it listens, what it may use, and which bounds it must keep.
package profile

import (
	"net/netip"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/duty"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindUnreadable means that the settings could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that a setting is missing or wrong.
	KindInvalid Kind = "invalid"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// Bounds are the limits that the operators have set for the whole fleet.
type Bounds struct {
	// ConfigLag is how long a new configuration may take to be in force.
	ConfigLag clock.Millis
	// Grace is the time from the signal to stop to the forced end.
	Grace clock.Millis
	// RetryWindow, RetryRatio and RetrySlack bound the requests of all instances to a
	// service beyond the first of each: ratio times the requests plus the slack in any
	// window.
	RetryWindow clock.Millis
	RetryRatio  float64
	RetrySlack  float64
	// ExposureShare bounds the requests that a bad release receives, as a share of the service's
	// requests during the roll-out.
	ExposureShare float64
	// ColdOverrun and ColdSlack bound the requests in one second to a cold server: the
	// rate that it bears times the overrun plus the slack.
	ColdOverrun float64
	ColdSlack   float64
	// SessionGap is the longest pause between two requests of one session.
	SessionGap clock.Millis
	// Lease is the time within which a duty must not go to another instance and back.
	Lease clock.Millis
	// UsagePeriod is the length of the periods for which usage is reported, and UsageDelay the
	// time after the end of a period at which its report is due.
	UsagePeriod, UsageDelay clock.Millis
}

// Duties describes the calls to the platform that one instance makes for the whole fleet.
type Duties struct {
	// Address is where the platform takes the calls; empty if there are none.
	Address ident.Address
	// Metering and Scaling tell which duties there are.
	Metering, Scaling bool
	// DutyCallsPerSecond is how many calls for duties the platform takes in a second, of all instances
	// together.
	DutyCallsPerSecond float64
}

// Names returns the duties.
func (d *Duties) Names() []duty.Name {
	var names []duty.Name
	if d.Address != "" && d.Metering {
		names = append(names, duty.Metering)
	}
	if d.Address != "" && d.Scaling {
		names = append(names, duty.Scaling)
	}
	return names
}

// Has reports whether the instances have a duty.
func (d *Duties) Has(name duty.Name) bool { return slices.Contains(d.Names(), name) }

// Profile is what a process is told at its start.
type Profile struct {
	Instance ident.Instance
	Zone     declaration.ZoneName
	// IP is the address at which other instances reach this one.
	IP netip.Addr
	// CallerAddress and ReadyAddress are where callers and the balancer connect.
	CallerAddress, ReadyAddress ident.Address
	// FirstPort and LastPort bound the ports that instances may use among themselves.
	FirstPort, LastPort uint16
	StoreAddress        ident.Address
	// MemoryBytes is the memory that the process may use, and Descriptors the number
	// of its files and sockets.
	MemoryBytes int64
	Descriptors int
	// OpenFiles is the system's own limit of the process's descriptors; zero if it sets none.
	OpenFiles int
	// CPUShare is the part of a core that the process may use.
	CPUShare float64
	// Heartbeat is the time between two writes of a server's entry; zero if the settings tell none.
	Heartbeat clock.Millis
	// LinkMbps is the bandwidth of the process's machine, in megabits a second.
	LinkMbps float64
	Bounds   Bounds
	Duties   Duties
}

// Strength compares what instances can do for others, by the scarcer of processor and
// link; a whole core and a link of a gigabit count alike.
func (p *Profile) Strength() float64 { return min(p.CPUShare, p.LinkMbps/1000) }

// MetricsPort is where metrics and status are served. The deploy file names it, and
// cannot refer to the ports of a process.
const MetricsPort = 9464

// PeerAddress is where other instances connect.
func (p *Profile) PeerAddress() ident.Address { return p.portAddress(p.FirstPort) }

// MetricsAddress is where metrics and status are served.
func (p *Profile) MetricsAddress() ident.Address { return p.portAddress(MetricsPort) }

func (p *Profile) portAddress(port uint16) ident.Address {
	return ident.Address(netip.AddrPortFrom(p.IP, port).String())
}

// Check returns an error of kind KindInvalid for the first setting that is wrong.
func (p *Profile) Check() error {
	const op = "check settings"
	if p.Instance == "" || p.Zone == "" {
		return fault.Newf(op, KindInvalid, "instance %q or zone %q is missing", p.Instance, p.Zone)
	}
	for name, address := range map[string]ident.Address{
		"caller": p.CallerAddress, "ready": p.ReadyAddress, "store": p.StoreAddress,
	} {
		if _, err := netip.ParseAddrPort(string(address)); err != nil {
			return fault.Newf(op, KindInvalid, "%s address %q is not an IP address with a port", name, address)
		}
	}
	if p.FirstPort == 0 || p.LastPort < p.FirstPort {
		return fault.Newf(op, KindInvalid, "ports %d to %d for peers are none", p.FirstPort, p.LastPort)
	}
	if p.MemoryBytes <= 0 {
		return fault.Newf(op, KindInvalid, "memory of %d bytes", p.MemoryBytes)
	}
	return p.checkDuties()
}

func (p *Profile) checkDuties() error {
	const op = "check settings"
	if p.Duties.Address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(string(p.Duties.Address)); err != nil {
		return fault.Newf(op, KindInvalid, "address %q for duties is not an IP address with a port", p.Duties.Address)
	}
	if len(p.Duties.Names()) > 0 && p.Bounds.Lease <= 0 {
		return fault.Newf(op, KindInvalid, "lease of %d ms for duties", p.Bounds.Lease)
	}
	if p.Duties.Has(duty.Metering) && (p.Bounds.UsagePeriod <= 0 || p.Bounds.UsageDelay <= 0) {
		return fault.Newf(op, KindInvalid, "usage periods of %d ms, due after %d ms", p.Bounds.UsagePeriod, p.Bounds.UsageDelay)
	}
	return nil
}
