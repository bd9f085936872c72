package keeper

import (
	"maps"
	"slices"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/machine/ident"
)

// View is the configuration at one store version. It is immutable.
type View struct {
	Version ident.StoreVersion
	// SessionKeys are sorted from the newest to the oldest.
	SessionKeys []declaration.SessionKey

	workspaces map[string]*Workspace
	models     map[string]declaration.Model
	services   map[string]declaration.Service
	zones      map[string]declaration.Zone
	zonesOut   map[string]order.Order
	progress   map[string]order.Progress
	versions   map[declaration.Ref]*Version
}

// Version is a declared version with its effective state: a withdrawal order overrides the
// declared state.
type Version struct {
	declaration.Version
	Ref   declaration.Ref
	State declaration.State
	// Rollout is the model's roll-out if it goes from or to this version, or nil.
	Rollout *declaration.Rollout
}

// Workspace is a declared workspace with its routes resolved.
type Workspace struct {
	declaration.Workspace
	routes map[declaration.RouteName]*Route
}

// Route is a declared route with every version that it may use, regardless of the state of
// the version.
type Route struct {
	declaration.Route
	Workspace declaration.WorkspaceName
	Versions  []*Version

	view *View
}

// VersionIn returns the entry of view for v, a version of the route, or nil if view lacks the
// version. It needs no lookup if the route belongs to view.
func (r *Route) VersionIn(view *View, v *Version) *Version {
	if r.view == view {
		return v
	}
	return view.versions[v.Ref]
}

// Empty reports whether no workspace with a key has been declared.
func (v *View) Empty() bool { return len(v.workspaces) == 0 }

// WorkspaceByDigest returns the workspace that declares a key with the SHA-256 digest, in
// hex, or nil.
func (v *View) WorkspaceByDigest(digest string) *Workspace { return v.workspaces[digest] }

// VersionOf returns a declared version, or nil.
func (v *View) VersionOf(ref declaration.Ref) *Version { return v.versions[ref] }

// Service returns a declared service.
func (v *View) Service(name declaration.ServiceName) (declaration.Service, bool) {
	s, found := v.services[string(name)]
	return s, found
}

// ZoneOut reports whether operators have taken the zone out of service.
func (v *View) ZoneOut(zone declaration.ZoneName) bool {
	_, out := v.zonesOut[string(zone)]
	return out
}

// Zones returns the declared zones, sorted by name.
func (v *View) Zones() []declaration.Zone {
	zones := make([]declaration.Zone, 0, len(v.zones))
	for _, name := range slices.Sorted(maps.Keys(v.zones)) {
		zones = append(zones, v.zones[name])
	}
	return zones
}

// Models returns the declared models, sorted by name.
func (v *View) Models() []declaration.Model {
	models := make([]declaration.Model, 0, len(v.models))
	for _, name := range slices.Sorted(maps.Keys(v.models)) {
		models = append(models, v.models[name])
	}
	return models
}

// Model returns a declared model.
func (v *View) Model(name declaration.ModelName) (declaration.Model, bool) {
	m, found := v.models[string(name)]
	return m, found
}

// Progress returns the progress of a model's roll-out.
func (v *View) Progress(model declaration.ModelName) (order.Progress, bool) {
	p, found := v.progress[string(model)]
	return p, found
}

// Route returns a workspace's route, or nil.
func (w *Workspace) Route(name declaration.RouteName) *Route { return w.routes[name] }

// UsesService reports whether the workspace may call the service.
func (w *Workspace) UsesService(name declaration.ServiceName) bool {
	return slices.Contains(w.Services, name)
}

// Allows reports whether the workspace's declaration allows the version.
func (w *Workspace) Allows(ref declaration.Ref) bool { return anyCovers(w.Allow, ref) }

func anyCovers(list []declaration.Ref, ref declaration.Ref) bool {
	for _, r := range list {
		if r.Covers(ref) {
			return true
		}
	}
	return false
}

func (v *View) addWorkspace(declared declaration.Workspace) {
	w := &Workspace{Workspace: declared, routes: map[declaration.RouteName]*Route{}}
	for _, r := range declared.Routes {
		w.routes[r.Name] = v.resolveRoute(w, r)
	}
	for _, digest := range declared.KeyDigests {
		v.workspaces[digest] = w
	}
}

func (v *View) resolveRoute(w *Workspace, declared declaration.Route) *Route {
	route := &Route{Route: declared, Workspace: w.Name, view: v}
	for _, version := range v.versions {
		if anyCovers(declared.Models, version.Ref) && w.Allows(version.Ref) {
			route.Versions = append(route.Versions, version)
		}
	}
	slices.SortFunc(route.Versions, func(a, b *Version) int {
		if a.Ref.String() < b.Ref.String() {
			return -1
		}
		return 1
	})
	return route
}

// Reason is the reason why a version must not be used.
type Reason string

// Reasons against using a version.
const (
	ReasonNone       Reason = ""
	ReasonNotAllowed Reason = "not-allowed"
	ReasonWithdrawn  Reason = "withdrawn"
	ReasonDraining   Reason = "draining"
)

// MayRun returns ReasonNone if a new request on a workspace's route may run on a version, and
// otherwise the reason why not. A session may stay on a version that is draining;
// continuesSession is set for a request of such a session.
func (v *View) MayRun(workspaceDigest string, route declaration.RouteName, ref declaration.Ref, continuesSession bool) Reason {
	w := v.workspaces[workspaceDigest]
	version := v.versions[ref]
	if w == nil || version == nil || !w.Allows(ref) {
		return ReasonNotAllowed
	}
	r := w.routes[route]
	if r == nil || !anyCovers(r.Models, ref) {
		return ReasonNotAllowed
	}
	switch version.State {
	case declaration.StateWithdrawn:
		return ReasonWithdrawn
	case declaration.StateDraining:
		if !continuesSession {
			return ReasonDraining
		}
	}
	return ReasonNone
}
