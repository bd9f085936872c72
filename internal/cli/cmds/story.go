package cmds

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"example.com/dotterelwell/internal/cli/narrator"
	"example.com/dotterelwell/internal/machine/ident"
)

// storyCmd tells what became of one request.
type storyCmd struct {
	Request string   `arg:"positional,required" help:"the request's identifier"`
	Logs    []string `arg:"positional" help:"log files of instances; standard input without any"`
}

func (c *storyCmd) run(_ context.Context, env environment) error {
	var n narrator.Narrator
	if len(c.Logs) == 0 {
		if err := n.Read("standard input", os.Stdin); err != nil {
			return err
		}
	}
	for _, path := range c.Logs {
		if err := readLog(&n, path); err != nil {
			return err
		}
	}
	found, err := n.Tell(ident.Request(c.Request), env.out)
	if err == nil && !found {
		return errors.Newf("no log tells of request %q", c.Request)
	}
	return err
}

func readLog(n *narrator.Narrator, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written to it
	return n.Read(filepath.Base(path), file)
}
