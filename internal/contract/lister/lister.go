// Package lister is the client of the platform's instance list.
package lister

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// KindUnavailable means that no usable answer came.
const KindUnavailable Kind = "unavailable"

// Error is the package's error type.
type Error = fault.Error[Kind]

// State tells whether an instance takes work.
type State string

// States of a listed instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone"
)

// Role tells what a listed instance is.
type Role string

// Roles of listed instances.
const (
	// RoleEntry is an entry instance of the router itself.
	RoleEntry Role = "entry"
	// RoleEngine is a backend server that runs a model engine.
	RoleEngine Role = "engine"
	// RoleService is a backend server that runs a plain service.
	RoleService Role = "service"
)

// Instance is one entry of the list.
type Instance struct {
	ID     string                 `json:"id"`
	State  State                  `json:"state"`
	Role   Role                   `json:"role"`
	Zone   declaration.ZoneName   `json:"zone"`
	Region declaration.RegionName `json:"region"`
	// Address is where callers or the router reach the instance.
	Address ident.Address `json:"address"`
	// PeerAddress is where entry instances reach one another.
	PeerAddress ident.Address `json:"peer-address,omitempty"`
	// Versions are the versions that an engine serves.
	Versions []declaration.Ref `json:"versions,omitempty"`
	// Service is the plain service that a backend server runs.
	Service declaration.ServiceName `json:"service,omitempty"`
}

// instanceFields avoids recursion in Instance's own decoder.
type instanceFields Instance

// UnmarshalJSON decodes and checks an entry.
func (i *Instance) UnmarshalJSON(raw []byte) error {
	var fields instanceFields
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	*i = Instance(fields)
	if i.ID == "" {
		return errors.New("instance has no id")
	}
	if i.State == StateGone {
		return nil
	}
	if _, err := netip.ParseAddrPort(string(i.Address)); err != nil {
		return errors.Newf("instance %q: address %q is not an IP address with a port", i.ID, i.Address)
	}
	return nil
}

// Changes answers a list or watch.
type Changes struct {
	Version   ident.StoreVersion `json:"version"`
	Instances []Instance         `json:"instances"`
}

// Lister calls the instance list. ListFunc is a seam for tests; New fills it in.
type Lister struct {
	// ListFunc returns the entries that changed after since, waiting up to wait for the first.
	ListFunc func(ctx context.Context, since ident.StoreVersion, wait clock.Millis) (Changes, error)
}

// List returns the entries that changed after since, waiting up to wait for the first.
func (l *Lister) List(ctx context.Context, since ident.StoreVersion, wait clock.Millis) (Changes, error) {
	return l.ListFunc(ctx, since, wait)
}

// maxListBytes bounds an answer of the instance list.
const maxListBytes = 16 << 20

// New returns a Lister for the list at base, such as http://10.0.0.1:7001.
func New(base string, client *http.Client, timeout clock.Millis) *Lister {
	base = strings.TrimSuffix(base, "/")
	list := func(ctx context.Context, since ident.StoreVersion, wait clock.Millis) (Changes, error) {
		const op = "list instances"
		ctx, cancel := context.WithTimeout(ctx, (timeout + wait).Duration())
		defer cancel()
		query := url.Values{
			"since": {strconv.FormatUint(uint64(since), 10)},
			"wait":  {strconv.FormatInt(int64(wait), 10)},
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/instances?"+query.Encode(), nil)
		if err != nil {
			return Changes{}, fault.New(op, KindUnavailable, err)
		}
		resp, err := client.Do(req)
		if err != nil {
			return Changes{}, fault.New(op, KindUnavailable, err)
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return Changes{}, fault.Newf(op, KindUnavailable, "status %d", resp.StatusCode)
		}
		var changes Changes
		if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&changes); err != nil {
			return Changes{}, fault.New(op, KindUnavailable, err)
		}
		return changes, nil
	}
	return &Lister{ListFunc: list}
}
