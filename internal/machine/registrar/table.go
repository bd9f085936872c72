package registrar

import (
	"cmp"
	"maps"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/lister"
	"example.com/dotterelwell/internal/link/hasher"
	"example.com/dotterelwell/internal/machine/ident"
)

var (
	affinityHash = hasher.Hasher{Salt: "prefix"}
	subsetHash   = hasher.Hasher{Salt: "subset"}
)

// Apply updates the table from changes of the instance list. A server that was gone and is
// back, or has another address, counts as cold.
func (r *Registrar) Apply(instances []lister.Instance) {
	r.mu.Lock()
	if r.servers == nil {
		r.servers = map[ident.Server]*server{}
		r.gone = map[ident.Server]bool{}
	}
	var renewed []ident.Server
	for _, i := range instances {
		if i.Role != lister.RoleEntry && r.applyInstance(i) {
			renewed = append(renewed, ident.Server(i.ID))
		}
	}
	r.index()
	r.mu.Unlock()
	for _, id := range renewed {
		if r.Warmer != nil {
			r.Warmer.MarkCold(id)
		}
	}
	if r.OnFreed != nil {
		r.OnFreed()
	}
}

// applyInstance updates a row and reports whether the server was renewed: it came back after
// it was gone, or has another address.
func (r *Registrar) applyInstance(i lister.Instance) bool {
	id := ident.Server(i.ID)
	row := r.servers[id]
	if i.State == lister.StateGone {
		if row != nil {
			row.leaving = true
			r.gone[id] = true
		}
		delete(r.servers, id)
		return false
	}
	renewed := r.gone[id] || row != nil && row.info.Address != i.Address
	if row == nil || renewed {
		row = &server{id: id}
		row.limits.Restart(1)
		r.servers[id] = row
		delete(r.gone, id)
	}
	row.info = i
	row.leaving = i.State == lister.StateLeaving
	return renewed
}

// index rebuilds the lists by version, service and address.
func (r *Registrar) index() {
	r.byAddress = map[ident.Address]*server{}
	r.byVersion = map[declaration.Ref][]*server{}
	r.byService = map[declaration.ServiceName][]*server{}
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[id]
		r.byAddress[s.info.Address] = s
		for _, ref := range s.info.Versions {
			r.byVersion[ref] = append(r.byVersion[ref], s)
		}
		if s.info.Service != "" {
			r.byService[s.info.Service] = append(r.byService[s.info.Service], s)
		}
	}
	for ref, rows := range r.byVersion {
		r.byVersion[ref] = r.subset(r.regional(rows))
	}
	for name, rows := range r.byService {
		r.byService[name] = r.subset(r.regional(rows))
	}
}

// regional returns the servers in this instance's region, or all if there are none.
func (r *Registrar) regional(rows []*server) []*server {
	var own []*server
	for _, s := range rows {
		if s.info.Region == r.Region {
			own = append(own, s)
		}
	}
	if len(own) == 0 {
		return rows
	}
	return own
}

// subset returns the SubsetSize servers with the highest rendezvous weight for this instance,
// or all if there are not more.
func (r *Registrar) subset(rows []*server) []*server {
	if r.SubsetSize <= 0 || len(rows) <= r.SubsetSize {
		return rows
	}
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b *server) int {
		return cmp.Compare(r.weight(b), r.weight(a))
	})
	return sorted[:r.SubsetSize]
}

func (r *Registrar) weight(s *server) uint64 {
	return subsetHash.Score(string(r.Instance), string(s.id))
}

// Row is a snapshot of the table's data on one server.
type Row struct {
	Server   ident.Server            `json:"server"`
	Zone     declaration.ZoneName    `json:"zone"`
	Address  ident.Address           `json:"address"`
	Versions []declaration.Ref       `json:"versions,omitempty"`
	Service  declaration.ServiceName `json:"service,omitempty"`
	Leaving  bool                    `json:"leaving"`
	Warm     bool                    `json:"warm"`
	Epoch    uint64                  `json:"epoch"`
	InFlight int                     `json:"in-flight"`
	Limit    int                     `json:"limit"`
	Load     float64                 `json:"load"`
}

// Rows returns the table sorted by server.
func (r *Registrar) Rows() []Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	view := r.ViewFunc()
	rows := make([]Row, 0, len(r.servers))
	for _, id := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[id]
		rows = append(rows, Row{
			Server: id, Zone: s.info.Zone, Address: s.info.Address,
			Versions: s.info.Versions, Service: s.info.Service, Leaving: s.leaving,
			Warm: !r.allowance(view, s).Cold, Epoch: r.epoch(s),
			InFlight: s.inFlight, Limit: s.limits.Limit(), Load: s.load(now),
		})
	}
	return rows
}

// InFlight returns how many requests this instance has in flight at a server.
func (r *Registrar) InFlight(id ident.Server) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if row := r.servers[id]; row != nil {
		return row.inFlight
	}
	return 0
}

// Serves reports whether some server in service, in a zone that is not evacuated, has the
// version.
func (r *Registrar) Serves(ref declaration.Ref) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.ViewFunc()
	for _, s := range r.byVersion[ref] {
		if !s.leaving && !view.ZoneOut(s.info.Zone) {
			return true
		}
	}
	return false
}
