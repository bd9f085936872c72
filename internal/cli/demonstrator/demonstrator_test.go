package demonstrator_test

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"k8s.io/klog/v2"

	"example.com/dotterelwell/internal/cli/demonstrator"
	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/assembler"
	"example.com/dotterelwell/internal/machine/clock"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/keeper"
)

// forgetfulStore grants every claim, as if claims were skipped.
func forgetfulStore() *storer.Storer {
	return &storer.Storer{
		PutFunc: func(context.Context, storer.ObjectKind, string, []byte, storer.Precondition) (ident.StoreVersion, error) {
			return 1, nil
		},
		ListFunc: func(context.Context, storer.ObjectKind, ident.StoreVersion, clock.Millis) (storer.Changes, error) {
			return storer.Changes{}, nil
		},
	}
}

// TestReport runs the demonstration whole, and with a broken part, which its report
// must notice.
func TestReport(t *testing.T) {
	klog.SetOutput(&bytes.Buffer{})
	klog.LogToStderr(false)
	for _, tt := range []struct {
		name     string
		sabotage func(*assembler.Node)
		broken   string
	}{
		{"whole", nil, ""},
		{"claims skipped", func(n *assembler.Node) {
			n.Claimer.Store = forgetfulStore()
			n.Claimer.HolderFunc = nil
			n.Claimer.Open()
		}, "no registration ran more than once"},
		{"withdrawal ignored", func(n *assembler.Node) {
			var first atomic.Pointer[keeper.View]
			frozen := func() *keeper.View {
				if v := n.Keeper.View(); len(v.Models()) == 2 && !v.Empty() {
					first.CompareAndSwap(nil, v)
				}
				if held := first.Load(); held != nil {
					return held
				}
				return n.Keeper.View()
			}
			n.Registrar.ViewFunc = frozen
			n.Chooser.ViewFunc = frozen
		}, "starts on the withdrawn version"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var out bytes.Buffer
			err := (&demonstrator.Demonstrator{Out: &out, Sabotage: tt.sabotage}).Run(t.Context())
			if tt.broken == "" {
				if err != nil {
					t.Fatalf("%v\n%s", err, out.String())
				}
				return
			}
			if fault.KindOf[demonstrator.Kind](err) != demonstrator.KindBroken {
				t.Fatalf("error %v, want kind %q\n%s", err, demonstrator.KindBroken, out.String())
			}
			if !strings.Contains(out.String(), "BROKEN  "+tt.broken) {
				t.Errorf("the report does not name %q:\n%s", tt.broken, out.String())
			}
		})
	}
}
