package cmds

import (
	"context"
	"flag"
	"fmt"
	"math"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/cli/reloader"
	"example.com/dotterelwell/internal/machine/host"
	"example.com/dotterelwell/internal/machine/logger"
	"example.com/dotterelwell/internal/machine/profile"
	"example.com/dotterelwell/platform"
)

// entryCmd runs an instance whose settings come from the platform.
type entryCmd struct {
	Check bool `help:"check the settings and exit"`
}

// memoryPart is the part of the allowed memory that the garbage collector aims to
// stay below; the rest is for stacks, buffers of the system and peaks.
const memoryPart = 0.6

func (c *entryCmd) run(ctx context.Context, env environment) error {
	p, err := loadProfile()
	if err != nil {
		return err
	}
	if c.Check {
		_, err := fmt.Fprintf(env.out, "%s: no problems\n", p.Instance)
		return err
	}
	closeLog := logTo(env)
	defer closeLog()
	debug.SetMemoryLimit(int64(memoryPart * float64(p.MemoryBytes)))
	h, closeHost := host.New(p, host.Outside{})
	defer closeHost()
	return h.Run(ctx, reloads(ctx, p))
}

// loadProfile reads the settings and the system's limit of open files.
func loadProfile() (profile.Profile, error) {
	p, err := platform.LoadProfile()
	if err != nil {
		return p, err
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return p, errors.Wrap(err, "limit of open files")
	}
	p.OpenFiles = int(min(limit.Cur, math.MaxInt32))
	return p, nil
}

// logTo sends all logs to the standard output, without ever blocking on it.
func logTo(env environment) func() {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "stderrthreshold": "FATAL", "alsologtostderr": "false", "one_output": "true"} {
		_ = flags.Set(name, value) // the names are klog's own
	}
	l, closeLogger := logger.New(env.out)
	klog.SetOutput(l)
	return func() {
		klog.Flush()
		closeLogger()
	}
}

// lookEvery is how often the settings are read again: they may change without a signal.
const lookEvery = 3 * time.Second

// reloads returns the settings each time they have changed.
func reloads(ctx context.Context, held profile.Profile) <-chan profile.Profile {
	changed := make(chan profile.Profile)
	go func() {
		look := time.NewTicker(lookEvery)
		defer look.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-reloader.Process.Requests():
			case <-look.C:
			}
			p, err := loadProfile()
			if err != nil {
				klog.ErrorS(err, "Changed settings are unusable; the old ones stay")
				continue
			}
			if p == held {
				continue
			}
			held = p
			select {
			case changed <- p:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changed
}
