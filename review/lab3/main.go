package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(folder string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE FOLDER")
		os.Exit(unable)
	}
	cases[os.Args[1]](os.Args[2])
}
