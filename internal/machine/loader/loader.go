// Package loader reads and checks the settings of one process.
//
// Settings belong to a process: its addresses, its zone, where the platform is, its
// limits and keys. What the fleet may do is configuration, and lives in the
// platform's object API.
package loader

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/link/enroller"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
)

// Kind classifies the package's errors.
type Kind string

// Kinds of errors.
const (
	// KindUnreadable means that the file could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that the file has the problems that come with the error.
	KindInvalid Kind = "invalid"
)

// Error is the package's error type.
type Error = fault.Error[Kind]

// Settings are the settings of one process. Fields left out take defaults.
type Settings struct {
	// Instance is the instance's name in the platform's list.
	Instance ident.Instance `toml:"instance"`
	// Zone is the availability zone in which the instance runs.
	Zone declaration.ZoneName `toml:"zone"`
	// Region is the region of the zone.
	Region declaration.RegionName `toml:"region"`
	// CallerAddress is where callers and the balancer connect.
	CallerAddress ident.Address `toml:"caller-address"`
	// PeerAddress is where other instances connect.
	PeerAddress ident.Address `toml:"peer-address"`
	// OperatorAddress is where operators connect for status, time line and metrics.
	OperatorAddress ident.Address `toml:"operator-address"`

	Platform Platform `toml:"platform"`
	Keys     Keys     `toml:"keys"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
}

// Platform says where the platform's services are.
type Platform struct {
	// ObjectAPI is the address of the object API, with the host as an IP address.
	ObjectAPI string `toml:"object-api"`
	// InstanceList is the address of the instance list.
	InstanceList string `toml:"instance-list"`
	// RatingService is the address of the rating service; without it nothing is rated.
	RatingService string `toml:"rating-service"`
	// Timeout bounds a call of the object API or the instance list.
	Timeout clock.Millis `toml:"timeout-ms"`
	// RatingTimeout bounds a call of the rating service.
	RatingTimeout clock.Millis `toml:"rating-timeout-ms"`
	// WriteBudget is the number of writes a second that claims of the whole fleet may use.
	WriteBudget int `toml:"write-budget"`
	// BillBudget is the number of writes a second that bills of the whole fleet may use.
	BillBudget int `toml:"bill-budget"`
}

// Keys says how the process proves who it is and checks others.
type Keys struct {
	// PeerKeyFile holds the secret that all instances share.
	PeerKeyFile string `toml:"peer-key-file"`
	// OperatorKeyDigest is the SHA-256 digest, in hex, of the key that operators present.
	OperatorKeyDigest string `toml:"operator-key-digest"`
	// CertFile and KeyFile, when set, serve callers, peers and operators over TLS.
	CertFile string `toml:"cert-file"`
	// KeyFile holds the key of CertFile.
	KeyFile string `toml:"key-file"`
	// CAFile, when set, makes peers present certificates of this authority.
	CAFile string `toml:"ca-file"`
}

// Limits bounds what the process takes on.
type Limits struct {
	// BodyBytes bounds the body of a caller's request.
	BodyBytes int64 `toml:"body-bytes"`
	// WindowBytes bounds what one stream holds for its caller.
	WindowBytes int `toml:"window-bytes"`
	// StreamBytes bounds what all streams of the instance hold.
	StreamBytes int `toml:"stream-bytes"`
	// BillBytes bounds the bills that wait for the store; new work is refused beyond it.
	BillBytes int `toml:"bill-bytes"`
	// Queue bounds the waiting requests of each priority for one version or service.
	Queue int `toml:"queue"`
	// Subset bounds the backend servers that the instance uses for one version.
	Subset int `toml:"subset"`
	// ClaimShards is the number of shards of claims; it must be the same in the whole fleet.
	ClaimShards int `toml:"claim-shards"`
	// ClaimRetention is how long a key is remembered; it must be the same in the whole fleet.
	ClaimRetention clock.Millis `toml:"claim-retention-ms"`
	// PromptTimeout is the deadline of a prompt request that names none.
	PromptTimeout clock.Millis `toml:"prompt-timeout-ms"`
	// PatientTimeout is the deadline of a patient request that names none.
	PatientTimeout clock.Millis `toml:"patient-timeout-ms"`
	// StallLimit is how long a caller may take nothing before the engine is let go.
	StallLimit clock.Millis `toml:"stall-limit-ms"`
	// HeaderGap is how long an engine may take to accept a request.
	HeaderGap clock.Millis `toml:"header-gap-ms"`
	// FirstTokenGap is how long an accepted request may wait for its first token.
	FirstTokenGap clock.Millis `toml:"first-token-gap-ms"`
	// TokenGap is how long a stream may be silent between tokens.
	TokenGap clock.Millis `toml:"token-gap-ms"`
	// Settle is how long a new warming duty holder waits before it sends to a cold server.
	Settle clock.Millis `toml:"settle-ms"`
	// MaxConfigAge is how long an instance that hears nobody goes on.
	MaxConfigAge clock.Millis `toml:"max-config-age-ms"`
	// BalancerDelay is how long a stopping instance still takes new requests.
	BalancerDelay clock.Millis `toml:"balancer-delay-ms"`
	// DrainTimeout bounds the time for the requests of a stopping instance to end.
	DrainTimeout clock.Millis `toml:"drain-timeout-ms"`
	// RatingSample is the share of streamed answers that are rated, in percent.
	RatingSample declaration.Percent `toml:"rating-sample-percent"`
}

// Log says what is logged.
type Log struct {
	// Verbosity is klog's level; 0 logs only what operators should see.
	Verbosity int `toml:"verbosity"`
}

// Defaults returns settings with every default filled in.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * clock.Second, RatingTimeout: 2 * clock.Second, WriteBudget: 100, BillBudget: 50},
		Limits: Limits{
			BodyBytes: 2 << 20, WindowBytes: 64 << 10, StreamBytes: 256 << 20, BillBytes: 24 << 20,
			Queue: 1024, Subset: 64, ClaimShards: 4, ClaimRetention: 24 * clock.Hour,
			PromptTimeout: 10 * clock.Second, PatientTimeout: 120 * clock.Second,
			StallLimit: 10 * clock.Second, HeaderGap: 1 * clock.Second,
			FirstTokenGap: 10 * clock.Second, TokenGap: 2 * clock.Second,
			Settle: 8 * clock.Second, MaxConfigAge: 15 * clock.Second,
			BalancerDelay: 2 * clock.Second, DrainTimeout: 150 * clock.Second,
			RatingSample: 10,
		},
	}
}

// Load reads a settings file over the defaults. It returns all problems of the file.
func Load(path string) (Settings, []declaration.Problem, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fault.New("load settings", KindUnreadable, err)
	}
	s, problems := Parse(raw)
	if len(problems) > 0 {
		return s, problems, fault.Newf("load settings", KindInvalid, "%s has %d problems", path, len(problems))
	}
	return s, nil, nil
}

// Parse reads settings over the defaults and returns all problems.
func Parse(raw []byte) (Settings, []declaration.Problem) {
	s := Defaults()
	if problems := declaration.Decode(raw, &s); len(problems) > 0 {
		return s, problems
	}
	problems := s.Check()
	for i := range problems {
		problems[i].Line = declaration.LineOf(raw, problems[i].Field)
	}
	slices.SortFunc(problems, func(a, b declaration.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	return s, problems
}

type checker struct{ problems []declaration.Problem }

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, declaration.Problem{Field: field, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) text(field, value string) {
	if value == "" {
		c.add(field, "is missing")
	}
}

func (c *checker) address(field string, value ident.Address) {
	if _, err := netip.ParseAddrPort(string(value)); err != nil {
		c.add(field, "%q is not an IP address with a port", value)
	}
}

func (c *checker) endpoint(field, value string, optional bool) {
	if value == "" && optional {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(field, "%q is not an http or https address", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(field, "%q does not name its host by IP address", value)
	}
}

func positive[T int | int64 | clock.Millis](c *checker, field string, value T) {
	if value <= 0 {
		c.add(field, "%d is not above 0", value)
	}
}

// Check returns the problems of the settings.
func (s *Settings) Check() []declaration.Problem {
	c := &checker{}
	c.text("instance", string(s.Instance))
	c.text("zone", string(s.Zone))
	c.text("region", string(s.Region))
	c.address("caller-address", s.CallerAddress)
	c.address("peer-address", s.PeerAddress)
	c.address("operator-address", s.OperatorAddress)
	s.Platform.check(c)
	s.Keys.check(c)
	s.Limits.check(c)
	if s.Log.Verbosity < 0 {
		c.add("log.verbosity", "%d is below 0", s.Log.Verbosity)
	}
	return c.problems
}

func (p *Platform) check(c *checker) {
	c.endpoint("platform.object-api", p.ObjectAPI, false)
	c.endpoint("platform.instance-list", p.InstanceList, false)
	c.endpoint("platform.rating-service", p.RatingService, true)
	positive(c, "platform.timeout-ms", p.Timeout)
	positive(c, "platform.rating-timeout-ms", p.RatingTimeout)
	positive(c, "platform.write-budget", p.WriteBudget)
	positive(c, "platform.bill-budget", p.BillBudget)
}

// digestChars is the length of a SHA-256 digest in hex.
const digestChars = 64

func (k *Keys) check(c *checker) {
	if k.OperatorKeyDigest != "" && len(k.OperatorKeyDigest) != digestChars {
		c.add("keys.operator-key-digest", "is not a SHA-256 digest in hex")
	}
	if (k.CertFile == "") != (k.KeyFile == "") {
		c.add("keys.cert-file", "cert-file and key-file go together")
	}
	if k.CAFile != "" && k.CertFile == "" {
		c.add("keys.ca-file", "needs cert-file and key-file")
	}
}

func (l *Limits) check(c *checker) {
	positive(c, "limits.body-bytes", l.BodyBytes)
	for field, value := range map[string]int{
		"window-bytes": l.WindowBytes, "stream-bytes": l.StreamBytes, "bill-bytes": l.BillBytes,
		"queue": l.Queue, "subset": l.Subset, "claim-shards": l.ClaimShards,
	} {
		positive(c, "limits."+field, value)
	}
	for field, value := range map[string]clock.Millis{
		"claim-retention-ms": l.ClaimRetention, "prompt-timeout-ms": l.PromptTimeout,
		"patient-timeout-ms": l.PatientTimeout, "stall-limit-ms": l.StallLimit,
		"header-gap-ms": l.HeaderGap, "first-token-gap-ms": l.FirstTokenGap, "token-gap-ms": l.TokenGap,
		"settle-ms": l.Settle, "max-config-age-ms": l.MaxConfigAge, "drain-timeout-ms": l.DrainTimeout,
	} {
		positive(c, "limits."+field, value)
	}
	if l.Settle <= enroller.MaxListAge {
		c.add("limits.settle-ms", "%d is not above %d, the age of a list that still counts as fresh", l.Settle, enroller.MaxListAge)
	}
	if l.BalancerDelay < 0 {
		c.add("limits.balancer-delay-ms", "%d is below 0", l.BalancerDelay)
	}
	if !(l.RatingSample >= 0 && l.RatingSample <= 100) {
		c.add("limits.rating-sample-percent", "%v is not between 0 and 100", l.RatingSample)
	}
}
