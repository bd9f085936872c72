// Package curator holds what operators have put in force: the routing configuration,
// zones that are out of service, and roll-outs.
//
// Every change replaces the view as a whole. A view is immutable; a configuration is
// replaced only by one of a higher version.
package curator

import (
	"maps"
	"sync"
	"sync/atomic"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/backend"
	"example.com/dotterelwell/internal/contract/routing"
	"example.com/dotterelwell/internal/contract/storer"
)

// View is what is in force at one moment.
type View struct {
	// Config is nil until a configuration is known.
	Config *routing.Config
	// EvacuatedZones holds the zones whose servers take no new work.
	EvacuatedZones map[declaration.ZoneName]bool
	// Rollouts holds the newest order for each service.
	Rollouts map[declaration.ServiceName]backend.Rollout
}

// Curator holds the view. Set the exported fields before use.
type Curator struct {
	// DecodeRoutingFunc and DecodeRolloutFunc decode the values of objects.
	DecodeRoutingFunc func(value []byte) (*routing.Config, error)
	DecodeRolloutFunc func(o storer.Object) (backend.Rollout, error)
	// OnChange, when set, is called without a lock after each change of the view.
	OnChange func(*View)

	mu   sync.Mutex
	view atomic.Pointer[View]
}

var emptyView = &View{}

// View returns what is in force.
func (c *Curator) View() *View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return emptyView
}

// change replaces the view by a changed copy.
func (c *Curator) change(edit func(v *View)) {
	c.mu.Lock()
	next := *c.View()
	edit(&next)
	c.view.Store(&next)
	c.mu.Unlock()
	if c.OnChange != nil {
		c.OnChange(&next)
	}
}

// ApplyRouting takes in the routing configuration.
func (c *Curator) ApplyRouting(objects []storer.Object) {
	for _, o := range objects {
		if o.Deleted {
			klog.InfoS("Routing configuration was removed; the last one stays in force", "object", o.Name)
			continue
		}
		config, err := c.DecodeRoutingFunc(o.Value)
		if err != nil {
			klog.ErrorS(err, "Routing configuration is invalid; the last one stays in force", "object", o.Name, "revision", o.Version)
			continue
		}
		if held := c.View().Config; held != nil && config.Version <= held.Version {
			klog.InfoS("Routing configuration is not newer", "version", config.Version, "held", held.Version)
			continue
		}
		klog.InfoS("Routing configuration is in force", "version", config.Version, "revision", o.Version, "routes", len(config.Routes), "workspaces", len(config.Workspaces))
		c.change(func(v *View) { v.Config = config })
	}
}

// ApplyEvacuations takes in the zones that are out of service, named by the objects.
func (c *Curator) ApplyEvacuations(objects []storer.Object) {
	c.change(func(v *View) {
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

// ApplyRollouts takes in orders for roll-outs.
func (c *Curator) ApplyRollouts(objects []storer.Object) {
	c.change(func(v *View) {
		v.Rollouts = maps.Clone(v.Rollouts)
		if v.Rollouts == nil {
			v.Rollouts = map[declaration.ServiceName]backend.Rollout{}
		}
		for _, o := range objects {
			if o.Deleted {
				delete(v.Rollouts, declaration.ServiceName(o.Name))
				continue
			}
			order, err := c.DecodeRolloutFunc(o)
			if err != nil {
				klog.ErrorS(err, "Roll-out order is invalid and ignored", "object", o.Name, "revision", o.Version)
				continue
			}
			klog.InfoS("Roll-out order", "service", order.Service, "target", order.Target, "within-ms", order.Within, "outcome", order.Outcome, "revision", o.Version)
			v.Rollouts[order.Service] = order
		}
	})
}
