package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases returns true if the rule was broken.
var cases = map[string]func(l *lab) bool{
	"reload-while-stopping": reloadWhileStopping,
	"slow-reader":           slowReader,
	"double-slash":          doubleSlash,
	"brittle-servers":       brittleServers,
	"sound-blamed":          soundBlamed,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the repository's root")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case
// could not be run.
func play(name, folder string) (code int) {
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return fail(err)
	}
	command, err := deployCommand(".")
	if err != nil {
		return fail(err)
	}
	l := &lab{dir: dir, command: command, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), out: out, began: time.Now(), runs: map[string][]string{}}
	defer func() {
		problem := recover()
		l.close()
		if e, ok := problem.(couldNotRun); ok {
			code = fail(e.error)
		} else if problem != nil {
			panic(problem)
		}
	}()
	l.record("case %s, trouble %v", name, l.trouble)
	l.startStore()
	if cases[name](l) {
		l.record("RULE BROKEN")
		fmt.Println("rule broken; see record.txt")
		return 1
	}
	l.record("rule held")
	fmt.Println("rule held")
	return 0
}
