package locator

// homeCount is how many homes a part has. The first one that may take a request is sent it; the
// next ones stand in for it and keep the part when it is away.
const homeCount = 3

// Homes chooses the homes of a part by rendezvous hashing. Offer it all servers in service, whether or not they
// may take a request now: a server that is full or paused for a moment keeps its parts.
type Homes[S any] struct {
	homes  [homeCount]S
	scores [homeCount]uint64
	n      int
}

// Reset removes all servers.
func (h *Homes[S]) Reset() { h.n = 0 }

// Offer adds a server with its rendezvous score for the part.
func (h *Homes[S]) Offer(server S, score uint64) {
	if h.n == homeCount && score <= h.scores[homeCount-1] {
		return
	}
	if h.n < homeCount {
		h.n++
	}
	at := h.n - 1
	for at > 0 && h.scores[at-1] < score {
		h.homes[at], h.scores[at] = h.homes[at-1], h.scores[at-1]
		at--
	}
	h.homes[at], h.scores[at] = server, score
}

// Servers returns the homes, the best one first. They are valid until the next Reset or Offer.
func (h *Homes[S]) Servers() []S { return h.homes[:h.n] }
