package main

import (
	"fmt"
	"os"
)

// cases holds the cases by name. Each gets its folder, and whether the disruption is played.
var cases = map[string]func(folder string, trouble bool){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "with" && os.Args[3] != "without" {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER with|without")
		os.Exit(unable)
	}
	cases[os.Args[1]](os.Args[2], os.Args[3] == "with")
}
