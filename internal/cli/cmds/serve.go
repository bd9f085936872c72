package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strconv"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/demonstrator"
	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/loader"
)

type serveCmd struct {
	Settings string `arg:"required" help:"TOML file with the process's settings"`
	Check    bool   `help:"check the settings and exit"`
}

func (c *serveCmd) run(ctx context.Context, env environment) error {
	settings, problems, err := loader.Load(c.Settings)
	printProblems(env, c.Settings, problems)
	if len(problems) > 0 {
		return errProblems
	}
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(env.out, "%s: no problems\n", c.Settings)
		return err
	}
	setVerbosity(settings.Log.Verbosity)
	node, closeNode, err := assembler.New(settings, assembler.Outside{})
	if err != nil {
		return err
	}
	defer klog.Flush()
	defer closeNode()
	return node.Run(ctx)
}

func printProblems(env environment, file string, problems []declaration.Problem) {
	for _, p := range problems {
		at := file
		if p.Line > 0 {
			at += ":" + strconv.Itoa(p.Line)
		}
		_, _ = fmt.Fprintf(env.err, "%s: %s: %s\n", at, p.Field, p.Detail) // there is nowhere else to report to
	}
}

func setVerbosity(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(level)) // a number is always accepted
}

type demoCmd struct {
	Keep  bool `help:"leave the fleet running for your own requests"`
	Scale int  `default:"1" help:"multiply the load"`
	Logs  bool `help:"show the instances' logs"`
}

func (c *demoCmd) run(ctx context.Context, env environment) error {
	if !c.Logs {
		silenceLogs()
	}
	d := &demonstrator.Demonstrator{Out: env.out, Keep: c.Keep, Scale: c.Scale}
	return d.Run(ctx)
}

// silenceLogs keeps the instances' logs out of the report.
func silenceLogs() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "alsologtostderr": "false"} {
		_ = flags.Set(name, value) // the names are klog's own
	}
	klog.SetOutput(io.Discard)
}
