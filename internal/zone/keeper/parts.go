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

// parts are the decoded objects from which views are built.
type parts struct {
	zones       map[string]declaration.Zone
	models      map[string]declaration.Model
	workspaces  map[string]declaration.Workspace
	services    map[string]declaration.Service
	sessionKeys map[string]declaration.SessionKey
	zonesOut    map[string]order.Order
	withdrawals map[string]order.Order
	progress    map[string]order.Progress
}

type checkedPart interface {
	Check() []declaration.Problem
}

// set decodes an object into its map, or removes it there. On an error nothing changes.
func (p *parts) set(o storer.Object) error {
	sort, name := order.SplitName(o.Name)
	switch sort {
	case order.SortZone:
		return setChecked(&p.zones, name, o)
	case order.SortModel:
		return setChecked(&p.models, name, o)
	case order.SortWorkspace:
		return setChecked(&p.workspaces, name, o)
	case order.SortService:
		return setChecked(&p.services, name, o)
	case order.SortSessionKey:
		return setChecked(&p.sessionKeys, name, o)
	case order.SortZoneOut:
		return setPlain(&p.zonesOut, name, o)
	case order.SortWithdrawal:
		return setPlain(&p.withdrawals, name, o)
	case order.SortProgress:
		return setPlain(&p.progress, name, o)
	}
	return errors.Newf("object %q is of an unknown sort", o.Name)
}

func setPlain[T any](m *map[string]T, name string, o storer.Object) error {
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

func setChecked[T checkedPart](m *map[string]T, name string, o storer.Object) error {
	if !o.Deleted {
		var value T
		if err := json.Unmarshal(o.Value, &value); err != nil {
			return err
		}
		if problems := value.Check(); len(problems) > 0 {
			return errors.Newf("%s: %s", problems[0].Field, problems[0].Detail)
		}
	}
	return setPlain(m, name, o)
}

// build returns a view of the parts at a store version.
func (p *parts) build(version ident.StoreVersion) *View {
	v := &View{
		Version:    version,
		workspaces: map[string]*Workspace{},
		models:     maps.Clone(p.models),
		services:   maps.Clone(p.services),
		zonesOut:   maps.Clone(p.zonesOut),
		zones:      maps.Clone(p.zones),
		progress:   maps.Clone(p.progress),
		versions:   map[declaration.Ref]*Version{},
	}
	for _, k := range p.sessionKeys {
		v.SessionKeys = append(v.SessionKeys, k)
	}
	slices.SortFunc(v.SessionKeys, func(a, b declaration.SessionKey) int { return int(b.Since - a.Since) })
	for _, m := range p.models {
		p.buildVersions(v, m)
	}
	for _, name := range slices.Sorted(maps.Keys(p.workspaces)) {
		v.addWorkspace(p.workspaces[name])
	}
	return v
}

func (p *parts) buildVersions(v *View, m declaration.Model) {
	for _, declared := range m.Versions {
		ref := declaration.Ref{Model: m.Name, Version: declared.Name}
		state := declared.State
		if state == "" {
			state = declaration.StateActive
		}
		if _, withdrawn := p.withdrawals[ref.String()]; withdrawn {
			state = declaration.StateWithdrawn
		}
		version := &Version{Version: declared, Ref: ref, State: state}
		if r := m.Rollout; r != nil && (r.From == declared.Name || r.To == declared.Name) {
			version.Rollout = r
		}
		v.versions[ref] = version
	}
}
