// Package routing defines the routing configuration: which requests go to which
// backend servers, who may send them, and within which limits.
//
// A configuration is replaced as a whole by one with a higher version. It must not be
// modified after Index.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
)

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that a configuration is inconsistent.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

// Version is the version of a configuration; a higher one replaces a lower one.
type Version uint64

// Delivery tells how often a request may run and how its answer arrives.
type Delivery string

// Deliveries.
const (
	// DeliveryIdempotent requests may run any number of times.
	DeliveryIdempotent Delivery = "idempotent"
	// DeliveryOnce requests may run at most once.
	DeliveryOnce Delivery = "once"
	// DeliveryStream requests are answered by a stream of events.
	DeliveryStream Delivery = "stream"
)

// Share is the weighted share of a route's requests that goes to one service.
type Share struct {
	Service declaration.ServiceName
	// Weight is relative to the route's other shares.
	Weight int
}

// Route defines where requests for one host and path prefix go.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Delivery Delivery
	// Timeout bounds the time that a request waits for its answer.
	Timeout clock.Millis
	// FirstByteTarget is the target for the time until an answer, or a stream's first
	// event, arrives; a later one has less than its full value.
	FirstByteTarget clock.Millis
	// InterEventTarget is the target for the longest time between two events of a stream.
	InterEventTarget clock.Millis
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Models are the candidate models, smallest first, of a route that chooses the
	// model for its callers; empty when callers name the model.
	Models []declaration.ModelName
	Shares []Share
	// MaxAttempts bounds the number of backend servers that one request is sent to.
	MaxAttempts int
	// Public routes need no API key.
	Public bool
	// CacheAffine is set when requests share prompt parts that servers cache, so that
	// requests with the same parts should go to the same server.
	CacheAffine bool
	// Resumable is set when a stream may be continued at another server.
	Resumable bool
}

// Retryable reports whether a request of the route may be sent again when it is
// unknown whether the first attempt ran.
func (r *Route) Retryable() bool {
	return r.Delivery == DeliveryIdempotent || r.Delivery == DeliveryStream && r.Resumable
}

// ServiceFor picks one of the route's services in proportion to their weights. The
// hash must be uniformly distributed over the requests.
func (r *Route) ServiceFor(hash uint64) declaration.ServiceName {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	remaining := int(hash % uint64(total))
	for _, s := range r.Shares {
		if remaining < max(s.Weight, 0) {
			return s.Service
		}
		remaining -= max(s.Weight, 0)
	}
	return r.Shares[0].Service
}

// Model is a model that the servers of a service can run.
type Model struct {
	Name declaration.ModelName
	// Cost is the price of 1,000 generated tokens; a prompt token costs a quarter of a
	// generated one.
	Cost float64
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine batches.
	Slots int
	// CacheTokens is the capacity, in tokens, for running requests and cached prompt parts.
	CacheTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
	// CopyMsPerToken is how long an engine takes to copy one token's memory from another one, in milliseconds;
	// zero if it can't.
	CopyMsPerToken float64
	Models         []Model
}

// Scaling bounds the number of a service's servers in each availability zone.
type Scaling struct {
	Min, Max int
	// Startup is how long a server that was ordered takes until it serves.
	Startup clock.Millis
}

// Service is a group of backend servers.
type Service struct {
	Name       declaration.ServiceName
	HealthPath string
	// MaxConnections bounds the connections of all instances together to one server.
	MaxConnections int
	// Warmup is how long a server stays cold after its start.
	Warmup clock.Millis
	// ColdPerSecond is the requests per second that a cold server can handle; 0 if the
	// service's servers are never cold.
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
	// Scaling is nil for a service whose servers are not ordered by the router.
	Scaling *Scaling
}

// CopyTime returns how long a server takes to copy the memory of prompt tokens from another one, in milliseconds;
// zero if it can't.
func (s *Service) CopyTime(tokens int) float64 {
	if s == nil || s.Engine == nil {
		return 0
	}
	return s.Engine.CopyMsPerToken * float64(tokens)
}

// Workspace is a customer with the API keys of its callers.
type Workspace struct {
	Name declaration.WorkspaceName
	Keys []string
	// Priority replaces the route's priority when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout clock.Millis
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout clock.Millis
}

// Config is a complete routing configuration. Call Index before Match or WorkspaceOf.
type Config struct {
	Version    Version
	Routes     []Route
	Services   map[declaration.ServiceName]*Service
	Workspaces []Workspace
	Limits     Limits

	byHost map[string][]*Route
	byKey  map[string]*Workspace
}

// Index builds the lookup tables of Match and WorkspaceOf. It fails if a route has no
// service.
func (c *Config) Index() error {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if len(r.Shares) == 0 {
			return fault.Newf("index configuration", KindInvalid, "route %q has no service", r.Name)
		}
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.byKey = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.byKey[key] = &c.Workspaces[i]
		}
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest that the path has, or nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of the route must carry an API key.
func (c *Config) NeedsKey(r *Route) bool { return len(c.Workspaces) > 0 && !r.Public }

// WorkspaceOf returns the workspace that the key belongs to, or nil.
func (c *Config) WorkspaceOf(key string) *Workspace { return c.byKey[key] }
