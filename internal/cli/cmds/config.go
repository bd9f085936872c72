package cmds

import (
	"context"
	"io"
	"os"

	"example.com/dotterelwell/declaration"
	"example.com/dotterelwell/internal/cli/submitter"
	"example.com/dotterelwell/internal/machine/ident"
)

type configCmd struct {
	Check  *configCheckCmd  `arg:"subcommand:check" help:"check a document"`
	Submit *configSubmitCmd `arg:"subcommand:submit" help:"bring a document into force"`
	Show   *configShowCmd   `arg:"subcommand:show" help:"print the configuration in the platform's store"`
	Diff   *configDiffCmd   `arg:"subcommand:diff" help:"show what submitting a document would change"`
}

type fileFlag struct {
	File string `arg:"positional,required" help:"TOML document, or - for standard input"`
}

func (f fileFlag) load(env environment) (*declaration.Fleet, error) {
	raw, err := readFile(f.File)
	if err != nil {
		return nil, err
	}
	fleet, problems := declaration.Parse(raw)
	printProblems(env, f.File, problems)
	if len(problems) > 0 {
		return nil, errProblems
	}
	return fleet, nil
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

type configCheckCmd struct {
	fileFlag
	JSON bool `arg:"--json" help:"print the problems as JSON"`
}

func (c *configCheckCmd) run(_ context.Context, env environment) error {
	if c.JSON {
		return c.runJSON(env)
	}
	if _, err := c.load(env); err != nil {
		return err
	}
	printf(env.out, "%s: no problems\n", c.File)
	return nil
}

func (c *configCheckCmd) runJSON(env environment) error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	_, problems := declaration.Parse(raw)
	if err := printJSON(env.out, append([]declaration.Problem{}, problems...)); err != nil {
		return err
	}
	if len(problems) > 0 {
		return errProblems
	}
	return nil
}

type configDiffCmd struct {
	fileFlag
	platformFlags
	Prune bool `help:"also delete declared objects that the document lacks"`
	JSON  bool `arg:"--json" help:"print the changes as JSON"`
}

func (c *configDiffCmd) run(ctx context.Context, env environment) error {
	fleet, err := c.load(env)
	if err != nil {
		return err
	}
	changes, err := c.submitter().Diff(ctx, fleet, c.Prune)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, append([]submitter.Change{}, changes...))
	}
	printChanges(env, changes)
	return nil
}

func printChanges(env environment, changes []submitter.Change) {
	if len(changes) == 0 {
		printf(env.out, "no changes\n")
	}
	for _, c := range changes {
		printf(env.out, "%s %s\n", c.Action, c.Name)
		if c.Before != nil {
			printf(env.out, "  - %s\n", c.Before)
		}
		if c.After != nil {
			printf(env.out, "  + %s\n", c.After)
		}
	}
}

type configSubmitCmd struct {
	fileFlag
	platformFlags
	Prune bool               `help:"also delete declared objects that the document lacks"`
	Base  ident.StoreVersion `help:"store version that the document was made from (config show prints it); later changes of the same objects are conflicts"`
	JSON  bool               `arg:"--json" help:"print the changes as JSON"`
}

// submitted is the JSON form of the result of a submission.
type submitted struct {
	Version ident.StoreVersion `json:"version"`
	Changes []submitter.Change `json:"changes"`
}

func (c *configSubmitCmd) run(ctx context.Context, env environment) error {
	fleet, err := c.load(env)
	if err != nil {
		return err
	}
	s := c.submitter()
	changes, err := s.Diff(ctx, fleet, c.Prune)
	if err != nil {
		return err
	}
	done, version, err := s.Submit(ctx, changes, c.Base)
	if c.JSON {
		if printErr := printJSON(env.out, submitted{Version: version, Changes: append([]submitter.Change{}, done...)}); printErr != nil {
			return printErr
		}
		return err
	}
	for _, change := range done {
		printf(env.out, "%s %s\n", change.Action, change.Name)
	}
	if err != nil {
		return err
	}
	printf(env.out, "submitted %d changes, store version %d\n", len(done), version)
	return nil
}

type configShowCmd struct {
	platformFlags
	JSON bool `arg:"--json" help:"print as JSON instead of TOML"`
}

func (c *configShowCmd) run(ctx context.Context, env environment) error {
	present, version, err := c.submitter().Read(ctx)
	if err != nil {
		return err
	}
	fleet, err := submitter.Fleet(present)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env.out, fleet)
	}
	printf(env.out, "# store version %d\n", version)
	return declaration.Print(env.out, fleet)
}
