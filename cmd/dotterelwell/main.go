// Command dotterelwell routes requests to model versions and plain services.
package main

import (
	"os"

	"example.com/dotterelwell/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
