// Package cmds holds the commands of the program.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/cli/reloader"
)

// Exit codes of the program.
const (
	// ExitOK means that the command did what it says.
	ExitOK = 0
	// ExitFailed means that the command could not do it, or found a problem.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

// program is the version of the program.
const program = "dotterelwell 0.1.0"

// arguments is the whole command line.
type arguments struct {
	Serve    *serveCmd    `arg:"subcommand:serve" help:"run an entry instance"`
	Entry    *entryCmd    `arg:"subcommand:entry" help:"run an entry instance on the users' platform"`
	Demo     *demoCmd     `arg:"subcommand:demo" help:"run the whole system against stand-ins and report"`
	Config   *configCmd   `arg:"subcommand:config|cfg" help:"check, submit and show the fleet's configuration"`
	Zone     *zoneCmd     `arg:"subcommand:zone" help:"take an availability zone out of service or back in"`
	Version  *versionCmd  `arg:"subcommand:version" help:"withdraw a model version; alone: print the program's version"`
	Rollout  *rolloutCmd  `arg:"subcommand:rollout" help:"show and steer roll-outs"`
	Quality  *qualityCmd  `arg:"subcommand:quality" help:"show why versions are chosen"`
	Requests *requestsCmd `arg:"subcommand:requests|req" help:"find requests that may not be repeated"`
	Bills    *billsCmd    `arg:"subcommand:bills" help:"sum bills"`
	Status   *statusCmd   `arg:"subcommand:status|st" help:"show instances, zones and backend servers"`
	Timeline *timelineCmd `arg:"subcommand:timeline|tl" help:"show events of all instances in causal order"`
	Story    *storyCmd    `arg:"subcommand:story" help:"tell what became of one request, from the logs of instances"`
}

// Description introduces the program in its help.
func (arguments) Description() string {
	return "dotterelwell routes requests to allowed model versions at the asked quality and least cost."
}

// Epilogue ends the help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed or a problem was found, 2 wrong command line.\nUse COMMAND --help for the options of a command."
}

// environment is what a command may use of the process.
type environment struct {
	out, err io.Writer
}

// command is a leaf of the command line.
type command interface {
	run(ctx context.Context, env environment) error
}

// errProblems ends a command whose output has said what is wrong.
var errProblems = errors.New("problems were found")

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, args, out, errOut)
}

// Run runs the command line until it is done or ctx ends, and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "dotterelwell", Out: out}, &parsed)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err) // there is nowhere else to report to
		return ExitFailed
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(out, parser.SubcommandNames()...) // the names come from the parser
		return ExitOK
	case err != nil:
		return usage(parser, errOut, err.Error())
	}
	leaf, ok := parser.Subcommand().(command)
	if !ok {
		return usage(parser, errOut, "a command is missing")
	}
	switch leaf.(type) {
	case *entryCmd, *serveCmd:
		signal.Ignore(syscall.SIGPIPE) // sent when the reader of the log has gone
	default:
		reloader.Process.Release()
	}
	err = leaf.run(ctx, environment{out: out, err: errOut})
	switch {
	case err == nil:
		return ExitOK
	case !errors.Is(err, errProblems):
		_, _ = fmt.Fprintln(errOut, "dotterelwell:", err) // there is nowhere else to report to
	}
	return ExitFailed
}

func usage(parser *arg.Parser, errOut io.Writer, message string) int {
	_ = parser.WriteUsageForSubcommand(errOut, parser.SubcommandNames()...) // the names come from the parser
	_, _ = fmt.Fprintln(errOut, "error:", message)                          // there is nowhere else to report to
	return ExitUsage
}
