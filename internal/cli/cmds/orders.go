package cmds

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/contract/order"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/reporter"
)

// reasonFlag says why an order is given.
type reasonFlag struct {
	Reason string `help:"why, for those who read it later"`
}

func (f reasonFlag) order() order.Order {
	return order.Order{By: operatorName(), Reason: f.Reason, At: clock.Millis(time.Now().UnixMilli())}
}

type zoneCmd struct {
	Out *zoneOutCmd `arg:"subcommand:out" help:"take a zone out: its servers get no new work"`
	In  *zoneInCmd  `arg:"subcommand:in" help:"bring a zone back; its servers start cold"`
}

type zoneOutCmd struct {
	Zone declaration.ZoneName `arg:"positional,required" help:"name of the zone"`
	platformFlags
	reasonFlag
}

func (c *zoneOutCmd) run(ctx context.Context, env environment) error {
	s := c.submitter()
	present, _, err := s.Read(ctx)
	if err != nil {
		return err
	}
	if _, found := present[order.Name(order.SortZone, string(c.Zone))]; !found {
		return errors.Newf("zone %q is not declared", c.Zone)
	}
	if _, err := s.Give(ctx, order.SortZoneOut, string(c.Zone), c.order()); err != nil {
		return err
	}
	printf(env.out, "zone %s is out\n", c.Zone)
	return nil
}

type zoneInCmd struct {
	Zone declaration.ZoneName `arg:"positional,required" help:"name of the zone"`
	platformFlags
}

func (c *zoneInCmd) run(ctx context.Context, env environment) error {
	if err := c.submitter().Revoke(ctx, order.SortZoneOut, string(c.Zone)); err != nil {
		return err
	}
	printf(env.out, "zone %s is in\n", c.Zone)
	return nil
}

type versionCmd struct {
	Withdraw  *withdrawCmd  `arg:"subcommand:withdraw" help:"give a version no new work"`
	Reinstate *reinstateCmd `arg:"subcommand:reinstate" help:"undo a withdrawal"`
}

func (c *versionCmd) run(_ context.Context, env environment) error {
	printf(env.out, "%s\n", program)
	return nil
}

type withdrawCmd struct {
	Version declaration.Ref `arg:"positional,required" help:"the version as MODEL@VERSION"`
	platformFlags
	reasonFlag
}

func (c *withdrawCmd) run(ctx context.Context, env environment) error {
	s := c.submitter()
	present, _, err := s.Read(ctx)
	if err != nil {
		return err
	}
	if c.Version.Version == "" {
		return errors.Newf("%q names no version; write MODEL@VERSION", c.Version)
	}
	if _, found := present[order.Name(order.SortModel, string(c.Version.Model))]; !found {
		return errors.Newf("model %q is not declared", c.Version.Model)
	}
	if _, err := s.Give(ctx, order.SortWithdrawal, c.Version.String(), c.order()); err != nil {
		return err
	}
	printf(env.out, "version %s is withdrawn\n", c.Version)
	return nil
}

type reinstateCmd struct {
	Version declaration.Ref `arg:"positional,required" help:"the version as MODEL@VERSION"`
	platformFlags
}

func (c *reinstateCmd) run(ctx context.Context, env environment) error {
	if err := c.submitter().Revoke(ctx, order.SortWithdrawal, c.Version.String()); err != nil {
		return err
	}
	printf(env.out, "version %s is reinstated\n", c.Version)
	return nil
}

type rolloutCmd struct {
	Show    *rolloutShowCmd    `arg:"subcommand:show" help:"show roll-outs with the evidence"`
	Step    *rolloutStepCmd    `arg:"subcommand:step" help:"go on to the next step at once"`
	Stop    *rolloutStopCmd    `arg:"subcommand:stop" help:"stay at the present step"`
	Restart *rolloutRestartCmd `arg:"subcommand:restart" help:"begin again with the first step"`
}

type rolloutShowCmd struct {
	operatorFlags
	JSON bool `arg:"--json" help:"print as JSON"`
}

func (c *rolloutShowCmd) run(ctx context.Context, env environment) error {
	var rows []reporter.RolloutRow
	if err := c.call(ctx, "GET", "/operator/rollouts", nil, &rows); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, rows)
	}
	printf(env.out, "%-16s %-14s %-8s %5s %8s %9s %9s %9s  %s\n", "MODEL", "FROM>TO", "PHASE", "STEP", "ANSWERS", "ERRORS", "RATINGS", "DELAYS", "REASON")
	for _, r := range rows {
		e := r.Evidence
		printf(env.out, "%-16s %-14s %-8s %5d %8.0f %9.2g %9.2g %9.2g  %s\n", r.Model, r.Rollout.From+">"+r.Rollout.To, r.Phase, r.Step, e.Answers, e.Errors, e.Ratings, e.Delays, r.Reason)
	}
	printf(env.out, "A roll-out stops when one kind of evidence reaches its limit.\n")
	return nil
}

type rolloutFlags struct {
	Model declaration.ModelName `arg:"positional,required" help:"name of the model"`
	platformFlags
}

// steer changes the roll-out by a conditional write and prints what came of it.
func (f rolloutFlags) steer(ctx context.Context, env environment, change func(*order.Progress) error) error {
	p, err := f.submitter().Steer(ctx, f.Model, change)
	if err != nil {
		return err
	}
	printf(env.out, "%s: %s at step %d\n", f.Model, p.Phase, p.Step)
	return nil
}

func now() clock.Millis { return clock.Millis(time.Now().UnixMilli()) }

type rolloutStepCmd struct{ rolloutFlags }

func (c *rolloutStepCmd) run(ctx context.Context, env environment) error {
	present, _, err := c.submitter().Read(ctx)
	if err != nil {
		return err
	}
	steps, err := stepsOf(present, c.Model)
	if err != nil {
		return err
	}
	return c.steer(ctx, env, func(p *order.Progress) error {
		if p.Phase == order.PhaseBad || p.Phase == order.PhaseDone {
			return errors.Newf("the roll-out is %s; use restart", p.Phase)
		}
		p.Since = now()
		p.Phase = order.PhaseRunning
		if p.Step+1 >= steps {
			p.Phase = order.PhaseDone
			return nil
		}
		p.Step++
		return nil
	})
}

type rolloutStopCmd struct{ rolloutFlags }

func (c *rolloutStopCmd) run(ctx context.Context, env environment) error {
	return c.steer(ctx, env, func(p *order.Progress) error {
		if p.Phase == order.PhaseBad || p.Phase == order.PhaseDone {
			return errors.Newf("the roll-out is %s already", p.Phase)
		}
		p.Phase = order.PhaseStopped
		p.Reason = "stopped by " + operatorName()
		return nil
	})
}

type rolloutRestartCmd struct{ rolloutFlags }

func (c *rolloutRestartCmd) run(ctx context.Context, env environment) error {
	return c.steer(ctx, env, func(p *order.Progress) error {
		p.Phase, p.Step, p.Reason = order.PhaseRunning, 0, ""
		p.Begun = now()
		p.Since = p.Begun
		return nil
	})
}
