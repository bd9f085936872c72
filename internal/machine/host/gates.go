package host

import (
	"net"
	"net/http"

	"example.com/dotterelwell/internal/link/gatekeeper"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/platform"
)

const (
	// headPart is the part of the process's memory that heads of callers' requests may take beyond an
	// allowance for each.
	headPart = 1.0 / 16
	// connectionPart is the part of the memory that callers' connections may take, and as much those of peers.
	connectionPart = 1.0 / 4
	// messagePart is the part of the memory that messages of peers may take while they are received.
	messagePart = 1.0 / 8
	// Parts of the sockets that connections of callers, peers, the balancer and operators may take. The
	// rest is for connections to servers, of which each request takes one, and to the store.
	callerDescriptors   = 3.0 / 8
	peerDescriptors     = 1.0 / 8
	readyDescriptors    = 1.0 / 32
	operatorDescriptors = 1.0 / 32
	// fewestConnections is the least bound of any port.
	fewestConnections = 8
	// smallHeadBytes limits the heads of questions of the balancer and of operators, and smallHeadMemory what
	// they may take beyond an allowance for each.
	smallHeadBytes  = 8 << 10
	smallHeadMemory = 1 << 20
	// firstCallBytes limits what a peer sends before its first call.
	firstCallBytes = 64 << 10
)

// gates are the bounds of the process's ports.
type gates struct {
	callers, ready, operators, peers *gatekeeper.Gatekeeper
}

func (h *Host) wireGates() {
	memory := float64(h.Profile.MemoryBytes)
	byMemory := int(connectionPart * memory / gatekeeper.ConnectionBytes)
	headTimeout := func() clock.Millis { return h.limits().HeaderTimeout }
	small := func() int { return smallHeadBytes }
	h.gates = gates{
		callers: &gatekeeper.Gatekeeper{
			Port: "callers", Connections: h.connectionLimit(callerDescriptors, byMemory), HeadMemory: int64(headPart * memory),
			HeadBytesFunc: func() int { return h.limits().HeaderBytes }, HeadTimeoutFunc: headTimeout, RefusalFunc: refusal,
		},
		ready:     &gatekeeper.Gatekeeper{Port: "ready", Connections: h.connectionLimit(readyDescriptors, byMemory/8), HeadMemory: smallHeadMemory, HeadBytesFunc: small, RefusalFunc: refusal},
		operators: &gatekeeper.Gatekeeper{Port: "metrics", Connections: h.connectionLimit(operatorDescriptors, byMemory/8), HeadMemory: smallHeadMemory, HeadBytesFunc: small, RefusalFunc: refusal},
		peers:     &gatekeeper.Gatekeeper{Port: "peers", Connections: h.connectionLimit(peerDescriptors, byMemory), HeadBytesFunc: func() int { return firstCallBytes }},
	}
	for _, g := range []*gatekeeper.Gatekeeper{h.gates.callers, h.gates.ready, h.gates.operators, h.gates.peers} {
		g.OnBound = func(bound gatekeeper.Bound) { h.Meter.ClientBounds.WithLabelValues(g.Port, string(bound)).Inc() }
	}
	h.Connector.OnFirstCall = func(c net.Conn) { h.gates.peers.Track(c, http.StateActive) }
	h.Connector.MessageMemory = int64(messagePart * memory)
	h.Meter.Gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(h.gates.callers.Open()) })
	h.Meter.Gauge("caller_head_bytes", "What the heads of callers' requests take beyond the allowance of each, in bytes.", func() float64 { return float64(h.gates.callers.HeadMemoryUsed()) })
}

// connectionLimit returns the bound of a port's connections, by its part of the descriptors and by memory.
func (h *Host) connectionLimit(part float64, byMemory int) int {
	limit := byMemory
	if sockets := h.Profile.Sockets(); sockets > 0 {
		limit = min(limit, int(part*float64(sockets)))
	}
	return max(limit, fewestConnections)
}

// refusal returns the answer to a request that a gatekeeper refuses.
func refusal(bound gatekeeper.Bound) []byte {
	if bound == gatekeeper.BoundHeadBytes {
		return platform.HeadTooLarge
	}
	return platform.HeadOverloaded
}
