package keeper

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/ident"
)

// decodedObjects holds the valid objects, decoded and by name, from which views are built.
type decodedObjects struct {
	zones       map[string]declaration.Zone
	models      map[string]declaration.Model
	workspaces  map[string]declaration.Workspace
	services    map[string]declaration.Service
	sessionKeys map[string]declaration.SessionKey
	zonesOut    map[string]order.Order
	withdrawals map[string]order.Order
	progress    map[string]order.Progress
}

type checkable interface {
	Check() []declaration.Problem
}

// set decodes an object into the map of its sort, or removes a deleted object from the map.
// It changes nothing if it returns an error.
func (d *decodedObjects) set(o storer.Object) error {
	sort, name := order.SplitName(o.Name)
	switch sort {
	case order.SortZone:
		return setChecked(&d.zones, name, o)
	case order.SortModel:
		return setChecked(&d.models, name, o)
	case order.SortWorkspace:
		return setChecked(&d.workspaces, name, o)
	case order.SortService:
		return setChecked(&d.services, name, o)
	case order.SortSessionKey:
		return setChecked(&d.sessionKeys, name, o)
	case order.SortZoneOut:
		return setUnchecked(&d.zonesOut, name, o)
	case order.SortWithdrawal:
		return setUnchecked(&d.withdrawals, name, o)
	case order.SortProgress:
		return setUnchecked(&d.progress, name, o)
	}
	return errors.Newf("object %q is of an unknown sort", o.Name)
}

func setUnchecked[T any](m *map[string]T, name string, o storer.Object) error {
	if o.Deleted {
		delete(*m, name)
		return nil
	}
	var value T
	if err := json.Unmarshal(o.Value, &value); err != nil {
		return err
	}
	if *m == nil {
		*m = map[string]T{}
	}
	(*m)[name] = value
	return nil
}

func setChecked[T checkable](m *map[string]T, name string, o storer.Object) error {
	if !o.Deleted {
		var value T
		if err := json.Unmarshal(o.Value, &value); err != nil {
			return err
		}
		if problems := value.Check(); len(problems) > 0 {
			return errors.Newf("%s: %s", problems[0].Field, problems[0].Detail)
		}
	}
	return setUnchecked(m, name, o)
}

// build returns a view of the objects at a store version.
func (d *decodedObjects) build(version ident.StoreVersion) *View {
	v := &View{
		Version:    version,
		workspaces: map[string]*Workspace{},
		models:     maps.Clone(d.models),
		services:   maps.Clone(d.services),
		zonesOut:   maps.Clone(d.zonesOut),
		zones:      maps.Clone(d.zones),
		progress:   maps.Clone(d.progress),
		versions:   map[declaration.Ref]*Version{},
	}
	for _, k := range d.sessionKeys {
		v.SessionKeys = append(v.SessionKeys, k)
	}
	slices.SortFunc(v.SessionKeys, func(a, b declaration.SessionKey) int { return int(b.Since - a.Since) })
	for _, m := range d.models {
		d.buildVersions(v, m)
	}
	for _, name := range slices.Sorted(maps.Keys(d.workspaces)) {
		v.addWorkspace(d.workspaces[name])
	}
	return v
}

func (d *decodedObjects) buildVersions(v *View, m declaration.Model) {
	for _, declared := range m.Versions {
		ref := declaration.Ref{Model: m.Name, Version: declared.Name}
		state := declared.State
		if state == "" {
			state = declaration.StateActive
		}
		if _, withdrawn := d.withdrawals[ref.String()]; withdrawn {
			state = declaration.StateWithdrawn
		}
		version := &Version{Version: declared, Ref: ref, State: state}
		if r := m.Rollout; r != nil && (r.From == declared.Name || r.To == declared.Name) {
			version.Rollout = r
		}
		v.versions[ref] = version
	}
}
