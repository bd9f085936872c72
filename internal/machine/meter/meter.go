// Package meter holds the metrics of an instance.
package meter

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Meter counts and measures. Use New to make one.
type Meter struct {
	// Requests counts finished requests by workspace, route, outcome and refusal.
	Requests *prometheus.CounterVec
	// Seconds measures whole requests by route.
	Seconds *prometheus.HistogramVec
	// Answers counts answers by version.
	Answers *prometheus.CounterVec
	// Cost sums what was charged by workspace, in millionths of the currency unit.
	Cost *prometheus.CounterVec
	// Dispatches counts starts at backend servers by target.
	Dispatches *prometheus.CounterVec
	// Resumes counts resumed streams.
	Resumes prometheus.Counter
	// DroppedFrames counts frames that belonged to another request.
	DroppedFrames prometheus.Counter
	// Claims counts decided claims by result.
	Claims *prometheus.CounterVec
	// ClaimSeconds measures how long claims took.
	ClaimSeconds prometheus.Histogram
	// BillsWritten counts bill records that became durable.
	BillsWritten prometheus.Counter
	// BillsAtRisk counts answers whose bill only this process held.
	BillsAtRisk prometheus.Counter
	// BillsTakenOver counts records written for instances that were gone.
	BillsTakenOver prometheus.Counter
	// ConfigRejected counts invalid configuration objects.
	ConfigRejected prometheus.Counter
	// StoreErrors counts failed calls of the object API.
	StoreErrors prometheus.Counter
	// Pauses counts pauses of this process.
	Pauses prometheus.Counter
	// Overruns counts answers of backend servers that exceeded a bound, by the bound.
	Overruns *prometheus.CounterVec
	// ClientBounds counts connections that were closed, or refused, for a bound on what clients may take, by
	// port and bound.
	ClientBounds *prometheus.CounterVec
	// RoomWaits counts requests that waited until a backend server had room for them, and RoomWaitSeconds sums how
	// long, by route.
	RoomWaits, RoomWaitSeconds *prometheus.CounterVec
	// LimitedSends counts requests to backend servers that named a rate limit, by service.
	LimitedSends *prometheus.CounterVec
	// SharedParts counts requests with a shared prompt part by service and by what their server is expected to do about it.
	SharedParts *prometheus.CounterVec
	// ServersPresent and ServersDesired hold the number of backend servers that are present and that
	// were ordered last, by service and zone, while this instance orders them.
	ServersPresent, ServersDesired *prometheus.GaugeVec
	// ServerOrders counts orders of backend servers by service, zone and result.
	ServerOrders *prometheus.CounterVec
	// BrittleRejections counts requests that brittle backend servers rejected, by service.
	BrittleRejections *prometheus.CounterVec
	// VersionsBad counts versions that this instance found bad.
	VersionsBad prometheus.Counter

	registry *prometheus.Registry
}

const namespace = "dotterelwell"

// secondsBuckets fit lookups at the counter as well as long drafts.
var secondsBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120}

// New returns a Meter with its own registry.
func New() *Meter {
	m := &Meter{registry: prometheus.NewRegistry()}
	m.Requests = m.vector("requests_total", "Finished requests by workspace, route, outcome and refusal.", "workspace", "route", "outcome", "refusal")
	m.Answers = m.vector("answers_total", "Answers by model version.", "version")
	m.Cost = m.vector("cost_micros_total", "Charged cost by workspace, in millionths of the currency unit.", "workspace")
	m.Dispatches = m.vector("dispatches_total", "Starts at backend servers by version or service.", "target")
	m.Claims = m.vector("claims_total", "Decided claims by result.", "result")
	m.Overruns = m.vector("answer_overruns_total", "Answers of backend servers that exceeded a bound, by the bound.", "bound")
	m.ClientBounds = m.vector("client_bounds_total", "Connections that were closed or refused for a bound on what clients may take, by port and bound.", "port", "bound")
	m.BrittleRejections = m.vector("brittle_rejections_total", "Requests that brittle backend servers rejected, by service.", "service")
	m.RoomWaits = m.vector("room_waits_total", "Requests that waited at this instance until a backend server had room for them, by route.", "route")
	m.RoomWaitSeconds = m.vector("room_wait_seconds_total", "Time that requests waited at this instance for room at a backend server, by route.", "route")
	m.LimitedSends = m.vector("limited_sends_total", "Requests to backend servers that named a rate limit, by service.", "service")
	m.SharedParts = m.vector("shared_parts_total", "Requests with a shared prompt part, by service and what their server is expected to do about it: it was sent the part before, is its home, copies it, or reads it.", "service", "use")
	m.ServersPresent = m.gauges("servers_present", "Backend servers that are present, at the instance that orders them.", "service", "zone")
	m.ServersDesired = m.gauges("servers_desired", "Backend servers ordered last by the instance that orders them; 0 for no order.", "service", "zone")
	m.ServerOrders = m.vector("server_orders_total", "Orders of backend servers by result.", "service", "zone", "result")
	m.Resumes = m.counter("stream_resumes_total", "Streams that were resumed.")
	m.DroppedFrames = m.counter("dropped_frames_total", "Frames that belonged to another request.")
	m.BillsWritten = m.counter("bills_written_total", "Bill records that became durable.")
	m.BillsAtRisk = m.counter("bills_at_risk_total", "Answers whose bill only this process held when they ended.")
	m.BillsTakenOver = m.counter("bills_taken_over_total", "Bill records written for instances that were gone.")
	m.ConfigRejected = m.counter("config_rejected_total", "Invalid configuration objects met.")
	m.StoreErrors = m.counter("store_errors_total", "Failed watches of the object API.")
	m.Pauses = m.counter("pauses_total", "Pauses of this process.")
	m.VersionsBad = m.counter("versions_bad_total", "Versions that this instance found bad.")
	m.Seconds = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "request_seconds", Help: "Time of whole requests by route.", Buckets: secondsBuckets,
	}, []string{"route"})
	m.ClaimSeconds = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "claim_seconds", Help: "Time until a claim was decided.", Buckets: secondsBuckets,
	})
	m.registry.MustRegister(m.Seconds, m.ClaimSeconds)
	return m
}

func (m *Meter) vector(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(v)
	return v
}

func (m *Meter) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.registry.MustRegister(g)
	return g
}

func (m *Meter) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	m.registry.MustRegister(c)
	return c
}

// Gauge registers a value that is read when metrics are.
func (m *Meter) Gauge(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Described is the name and help text of a metric.
type Described struct{ Name, Help string }

// Describe returns all metrics that have a value now.
func (m *Meter) Describe() ([]Described, error) {
	families, err := m.registry.Gather()
	if err != nil {
		return nil, err
	}
	var all []Described
	for _, f := range families {
		all = append(all, Described{Name: f.GetName(), Help: f.GetHelp()})
	}
	return all, nil
}
