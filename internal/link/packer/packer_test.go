package packer_test

import (
	"bytes"
	"testing"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/link/packer"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

func update(to ident.StoreVersion, size int) informer.Update {
	value := bytes.Repeat([]byte(`{"name":"route","host":"site.example"},`), size/40)
	return informer.Update{Kind: "config", Changes: storer.Changes{Version: to, Objects: []storer.Object{{Name: "main", Version: 7, Value: value}}}, From: 3}
}

// TestRoundTrip checks that Unpack restores the objects from a much smaller compressed form, that
// a repeated Pack returns the cached bytes, and that small changes are not compressed.
func TestRoundTrip(t *testing.T) {
	var p packer.Packer
	u := update(7, 400_000)
	raw, err := p.Pack(u)
	if err != nil || len(raw) == 0 || len(raw) > 100_000 {
		t.Fatalf("%d bytes, error %v", len(raw), err)
	}
	objects, err := packer.Unpack(raw)
	if err != nil || len(objects) != 1 || !bytes.Equal(objects[0].Value, u.Objects[0].Value) || objects[0].Version != 7 {
		t.Errorf("%d objects, error %v", len(objects), err)
	}
	again, err := p.Pack(u)
	if err != nil || &again[0] != &raw[0] {
		t.Error("the same changes were packed twice")
	}
	if small, err := p.Pack(update(8, 400)); small != nil || err != nil {
		t.Errorf("small changes were packed: %d bytes, error %v", len(small), err)
	}
}

func FuzzUnpack(f *testing.F) {
	raw, err := (&packer.Packer{}).Pack(update(7, 5000))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = packer.Unpack(raw) // must only not panic
	})
}
