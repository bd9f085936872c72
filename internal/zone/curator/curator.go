// Package curator holds the state that operators have set: the routing configuration, the
// zones that are out of service, and the roll-out orders.
//
// Every change replaces the view with a changed copy. A view is immutable; a routing
// configuration is replaced only by one with a higher version.
package curator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/contract/storer"
)

// View is an immutable snapshot of the operators' state.
type View struct {
	// Config is nil until the first valid configuration has been applied.
	Config *routing.Config
	// EvacuatedZones holds the zones whose servers take no new work.
	EvacuatedZones map[declaration.ZoneName]bool
	// Rollouts holds the newest roll-out order for each service.
	Rollouts map[declaration.ServiceName]backend.Rollout
	// Withdrawn holds the releases of each service that were rolled back and have not been ordered again. They
	// take no new work, whatever the newest order is.
	Withdrawn map[declaration.ServiceName]map[backend.Release]bool
}

// Curator holds the current view. Set the exported fields before use.
type Curator struct {
	// RoutingName, when set, is the name of the object that holds the routing configuration. Others of its kind are ignored.
	RoutingName string
	// DecodeRoutingFunc and DecodeRolloutFunc decode objects of the store.
	DecodeRoutingFunc func(value []byte) (*routing.Config, error)
	DecodeRolloutFunc func(o storer.Object) (backend.Rollout, error)
	// OnChange, when set, is called after each change of the view, without the lock held.
	OnChange func(*View)

	mu   sync.Mutex
	view atomic.Pointer[View]
}

var emptyView = &View{}

// View returns the current view.
func (c *Curator) View() *View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return emptyView
}

// update replaces the view with a copy changed by edit.
func (c *Curator) update(edit func(v *View)) {
	c.mu.Lock()
	next := *c.View()
	edit(&next)
	c.view.Store(&next)
	c.mu.Unlock()
	if c.OnChange != nil {
		c.OnChange(&next)
	}
}

// ApplyRouting applies changed objects of the routing configuration. The last valid
// configuration stays in force when the object is deleted or invalid.
func (c *Curator) ApplyRouting(objects []storer.Object) {
	for _, o := range objects {
		if c.RoutingName != "" && o.Name != c.RoutingName {
			klog.InfoS("Ignored an object that is not the routing configuration", "object", o.Name, "revision", o.Version)
			continue
		}
		if o.Deleted {
			klog.InfoS("Routing configuration was deleted; keeping the last one", "object", o.Name)
			continue
		}
		config, err := c.DecodeRoutingFunc(o.Value)
		if err != nil {
			klog.ErrorS(err, "Routing configuration is invalid; keeping the last valid one", "object", o.Name, "revision", o.Version)
			continue
		}
		if held := c.View().Config; held != nil && config.Version <= held.Version {
			klog.InfoS("Ignored a routing configuration that is not newer", "version", config.Version, "held", held.Version)
			continue
		}
		klog.InfoS("Routing configuration is in force", "version", config.Version, "revision", o.Version, "routes", len(config.Routes), "workspaces", len(config.Workspaces))
		c.update(func(v *View) { v.Config = config })
	}
}

// ApplyEvacuations applies changed evacuation objects. Each is named after a zone that is out
// of service; deleting the object puts the zone back into service.
func (c *Curator) ApplyEvacuations(objects []storer.Object) {
	c.update(func(v *View) {
		v.EvacuatedZones = maps.Clone(v.EvacuatedZones)
		if v.EvacuatedZones == nil {
			v.EvacuatedZones = map[declaration.ZoneName]bool{}
		}
		for _, o := range objects {
			zone := declaration.ZoneName(o.Name)
			klog.InfoS("Zone changes service", "zone", zone, "out", !o.Deleted, "revision", o.Version)
			if o.Deleted {
				delete(v.EvacuatedZones, zone)
				continue
			}
			v.EvacuatedZones[zone] = true
		}
	})
}

// ApplyRollouts applies changed roll-out orders. An invalid order is ignored.
func (c *Curator) ApplyRollouts(objects []storer.Object) {
	c.update(func(v *View) {
		v.Rollouts = maps.Clone(v.Rollouts)
		if v.Rollouts == nil {
			v.Rollouts = map[declaration.ServiceName]backend.Rollout{}
		}
		for _, o := range objects {
			if o.Deleted {
				v.withdraw(declaration.ServiceName(o.Name), backend.Rollout{})
				delete(v.Rollouts, declaration.ServiceName(o.Name))
				continue
			}
			order, err := c.DecodeRolloutFunc(o)
			if err != nil {
				klog.ErrorS(err, "Ignored an invalid roll-out order", "object", o.Name, "revision", o.Version)
				continue
			}
			if string(order.Service) != o.Name {
				klog.InfoS("Ignored a roll-out order under another name than its service's", "object", o.Name, "service", order.Service, "revision", o.Version)
				continue
			}
			klog.InfoS("Roll-out order", "service", order.Service, "target", order.Target, "within-ms", order.Within, "outcome", order.Outcome, "revision", o.Version)
			v.withdraw(order.Service, order)
			v.Rollouts[order.Service] = order
		}
	})
}

// withdraw adds the releases that were rolled back before the next order of a service to Withdrawn, and takes the one out
// that this orders.
func (v *View) withdraw(service declaration.ServiceName, next backend.Rollout) {
	held := v.Rollouts[service]
	if held.Outcome != backend.OutcomeRolledBack {
		held.Target = ""
	}
	withdrawn := map[backend.Release]bool{held.Target: true, next.RolledBack: true}
	maps.Copy(withdrawn, v.Withdrawn[service])
	delete(withdrawn, "")
	delete(withdrawn, next.Target)
	if maps.Equal(withdrawn, v.Withdrawn[service]) {
		return
	}
	klog.InfoS("Withdrawn releases change", "service", service, "withdrawn", slices.Sorted(maps.Keys(withdrawn)))
	all := maps.Clone(v.Withdrawn)
	if all == nil {
		all = map[declaration.ServiceName]map[backend.Release]bool{}
	}
	all[service] = withdrawn
	v.Withdrawn = all
}
