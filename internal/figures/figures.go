// Package figures counts what operators are told of a sidecar: how each request ended,
// by its class, and how many attempts went out whole. Each request is counted once, in
// one place, whichever way it ends. All of it is atomic: reading waits for nobody.
package figures

import (
	"strconv"
	"sync/atomic"
)

// End is how a request ended.
type End uint32

const (
	Succeeded End = iota // an answer of a server's went out whole
	Declined             // turned away: trying again is harmless
	Aborted              // any other end that its client was told, or could see
	Left                 // its client had left before
	ends
)

// Figures are those of one process. It holds a few numbers for each class.
type Figures struct {
	names   []string
	places  map[string]int
	counts  [][ends]atomic.Int64
	taken   atomic.Int64
	ended   atomic.Int64
	forward atomic.Int64
	// Configurations read at SIGHUP: those taken, and those not.
	applied, rejected atomic.Int64
}

// New counts for classes of these names.
func New(classes []string) *Figures {
	f := &Figures{names: classes, places: make(map[string]int, len(classes)), counts: make([][ends]atomic.Int64, len(classes))}
	for n, name := range classes {
		f.places[name] = n
	}
	return f
}

// Request is one request that counts. The zero Request counts nowhere, so that its
// methods may always be called.
type Request struct {
	f     *Figures
	class int
	over  atomic.Bool
}

// Take counts a request as taken, if there is such a class. It is called before the
// request may end, and once for r.
func (f *Figures) Take(r *Request, class string) {
	if f == nil || r.f != nil {
		return
	}
	if n, ok := f.places[class]; ok {
		r.f, r.class = f, n
		f.taken.Add(1)
	}
}

// Over counts the end of r. Only the first call counts.
func (r *Request) Over(how End) {
	if r.f != nil && r.over.CompareAndSwap(false, true) {
		r.f.counts[r.class][how].Add(1)
		r.f.ended.Add(1)
	}
}

// Forwarded counts an attempt whose last byte was written to its server.
func (f *Figures) Forwarded() {
	if f != nil {
		f.forward.Add(1)
	}
}

// Read counts a configuration that was read at a SIGHUP.
func (f *Figures) Read(taken bool) {
	switch {
	case f == nil:
	case taken:
		f.applied.Add(1)
	default:
		f.rejected.Add(1)
	}
}

// Outstanding is how many requests were taken and have not ended.
func (f *Figures) Outstanding() int64 {
	ended := f.ended.Load() // first: what is taken in between must not go below 0
	return f.taken.Load() - ended
}

// Count is how many requests of a class ended so.
func (f *Figures) Count(class string, how End) int64 {
	if n, ok := f.places[class]; ok {
		return f.counts[n][how].Load()
	}
	return 0
}

// Members are the figures of the server list.
type Members struct {
	Discovered int // on the list
	Ejected    int // of these, avoided by hand or by choice
}

// Append appends the figures, a line each, as name=value.
func (f *Figures) Append(b []byte, m Members) []byte {
	line := func(name, class string, v int64) {
		b = append(b, "balancer."...)
		b = append(b, name...)
		if class != "" {
			b = append(b, '.')
			b = append(b, class...)
		}
		b = append(b, '=')
		b = append(strconv.AppendInt(b, v, 10), '\n')
	}
	for how, name := range [...]string{"succeeded", "declined", "aborted"} {
		for n, class := range f.names {
			line(name, class, f.counts[n][how].Load())
		}
	}
	line("forwards", "", f.forward.Load())
	line("outstanding", "", f.Outstanding())
	line("discovered", "", int64(m.Discovered))
	line("ejected", "", int64(m.Ejected))
	line("sighup_applied", "", f.applied.Load())
	line("sighup_rejected", "", f.rejected.Load())
	return b
}
