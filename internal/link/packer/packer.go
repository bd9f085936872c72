// Package packer compresses changes of store objects for slow links between instances.
//
// A configuration of a thousand routes takes half a megabyte, and several neighbours ask for it
// at the same time. The last compressed result for each kind of objects is therefore cached.
package packer

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"example.com/dotterelwell/internal/contract/storer"
	"example.com/dotterelwell/internal/machine/fault"
	"example.com/dotterelwell/internal/machine/ident"
	"example.com/dotterelwell/internal/zone/informer"
)

// Kind classifies the package's errors.
type Kind string

// KindInvalid means that the bytes are not the output of Pack.
const KindInvalid Kind = "invalid"

// Error is the package's error type.
type Error = fault.Error[Kind]

const (
	// minBytes is the total size of object values and statuses below which compression is not
	// worthwhile.
	minBytes = 4 << 10
	// maxBytes bounds the size of the decompressed objects.
	maxBytes = 64 << 20
)

// Packer compresses changes and caches the last result for each kind of objects. Its zero value
// is ready to use.
type Packer struct {
	mu   sync.Mutex
	last map[storer.ObjectKind]compressed
}

type compressed struct {
	from  ident.StoreVersion
	to    ident.StorePoint
	whole bool
	raw   []byte
}

// Pack returns the changed objects of u in compressed form, or nil if they are smaller than
// minBytes.
func (p *Packer) Pack(u informer.Update) ([]byte, error) {
	size := 0
	for _, o := range u.Objects {
		size += len(o.Value) + len(o.Status)
	}
	if size < minBytes {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	to := ident.StorePoint{Era: u.Era, Version: u.Version}
	if held, found := p.last[u.Kind]; found && held.from == u.From && held.to == to && held.whole == u.Whole {
		return held.raw, nil
	}
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(compressor).Encode(u.Objects); err != nil {
		return nil, err
	}
	if err := compressor.Close(); err != nil {
		return nil, err
	}
	if p.last == nil {
		p.last = map[storer.ObjectKind]compressed{}
	}
	p.last[u.Kind] = compressed{from: u.From, to: to, whole: u.Whole, raw: out.Bytes()}
	return out.Bytes(), nil
}

// Unpack returns the objects that Pack compressed.
func Unpack(raw []byte) ([]storer.Object, error) {
	reader := flate.NewReader(bytes.NewReader(raw))
	var objects []storer.Object
	if err := gob.NewDecoder(io.LimitReader(reader, maxBytes)).Decode(&objects); err != nil {
		return nil, fault.New("unpack changes", KindInvalid, err)
	}
	return objects, nil
}
