// Package figures holds the counters that a sidecar reports to operators: how the requests
// of each class ended, and how many attempts were sent completely. Each request is counted
// once, at one place, whichever way it ends. All counters are atomic: reading them never
// blocks.
package figures

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
)

// Outcome is how a request ended.
type Outcome uint32

const (
	Succeeded  Outcome = iota // a server's answer was sent completely
	Declined                  // turned away; a retry is harmless
	Aborted                   // any other end that the client was told or could see
	ClientLeft                // the client had left before the end
	endCount
)

// classCounts holds the counters of a class, by how its requests ended.
type classCounts struct {
	name   string
	counts [endCount]atomic.Int64
}

// classTable holds the classes that are counted. It is replaced as a whole and never modified, and
// shares the counters with the table before it.
type classTable struct {
	inOrder []*classCounts
	byName  map[string]*classCounts
}

// Figures holds the counters of one process, a few for each class.
type Figures struct {
	adding    sync.Mutex // held while classes are replaced
	classes   atomic.Pointer[classTable]
	accepted  atomic.Int64
	ended     atomic.Int64
	forwarded atomic.Int64
	// Configurations that were read at a SIGHUP and applied or rejected.
	reloadsApplied, reloadsRejected atomic.Int64
}

// New returns Figures for the classes of these names.
func New(classes []string) *Figures {
	f := new(Figures)
	f.classes.Store(new(classTable))
	f.AddClasses(classes)
	return f
}

// AddClasses begins to count the requests of classes that a new configuration has. Those that are
// counted already keep their counters, and none is removed. A nil Figures does nothing.
func (f *Figures) AddClasses(names []string) {
	if f == nil {
		return
	}
	f.adding.Lock()
	defer f.adding.Unlock()
	old := f.classes.Load()
	next := &classTable{inOrder: slices.Clone(old.inOrder), byName: make(map[string]*classCounts, len(names))}
	maps.Copy(next.byName, old.byName)
	for _, name := range names {
		if next.byName[name] == nil {
			class := &classCounts{name: name}
			next.byName[name] = class
			next.inOrder = append(next.inOrder, class)
		}
	}
	f.classes.Store(next)
}

// Request is the counting state of one request. The zero Request counts nowhere, so that
// its methods may always be called. The end of a streamed body and the answer may be counted by
// two goroutines at the same time.
type Request struct {
	mu      sync.Mutex
	figures *Figures // where the request was counted; nil before that
	class   *classCounts
	ended   bool
}

// CountRequest counts r as accepted, unless the class is unknown or r was counted before. It has to
// be called before the request may end. A nil Figures counts nothing. It may be called by several
// goroutines; one of the calls counts.
func (f *Figures) CountRequest(r *Request, class string) {
	if f == nil {
		return
	}
	counts := f.classes.Load().byName[class]
	if counts == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.figures != nil {
		return
	}
	r.figures, r.class = f, counts
	f.accepted.Add(1)
}

// CountEnd counts the end of r, unless r was not counted as accepted. Calls after the first do
// nothing. It may be called by several goroutines.
func (r *Request) CountEnd(how Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.figures == nil || r.ended {
		return
	}
	r.ended = true
	r.class.counts[how].Add(1)
	r.figures.ended.Add(1)
}

// CountForwarded counts an attempt whose last byte was written to its server. A nil Figures
// counts nothing.
func (f *Figures) CountForwarded() {
	if f != nil {
		f.forwarded.Add(1)
	}
}

// CountReload counts a configuration that was read at a SIGHUP, and whether it was applied. A nil
// Figures counts nothing.
func (f *Figures) CountReload(applied bool) {
	switch {
	case f == nil:
	case applied:
		f.reloadsApplied.Add(1)
	default:
		f.reloadsRejected.Add(1)
	}
}

// Outstanding returns the number of requests that were accepted and have not ended.
func (f *Figures) Outstanding() int64 {
	ended := f.ended.Load() // first, so that the difference can't be negative
	return f.accepted.Load() - ended
}

// Count returns the number of requests of a class with this end, 0 for an unknown class.
func (f *Figures) Count(class string, how Outcome) int64 {
	if counts := f.classes.Load().byName[class]; counts != nil {
		return counts.counts[how].Load()
	}
	return 0
}

// ServerCounts are the counters of the server list.
type ServerCounts struct {
	Discovered int // on the list
	Ejected    int // of these, disabled by operators or ejected by the balancer
}

// Append appends the counters and m to b, one line name=value each.
func (f *Figures) Append(b []byte, m ServerCounts) []byte {
	appendLine := func(name, class string, v int64) {
		b = append(b, "balancer."...)
		b = append(b, name...)
		if class != "" {
			b = append(b, '.')
			b = append(b, class...)
		}
		b = append(b, '=')
		b = append(strconv.AppendInt(b, v, 10), '\n')
	}
	classes := f.classes.Load().inOrder
	for how, name := range [...]string{"succeeded", "declined", "aborted"} {
		for _, class := range classes {
			appendLine(name, class.name, class.counts[how].Load())
		}
	}
	appendLine("forwards", "", f.forwarded.Load())
	appendLine("outstanding", "", f.Outstanding())
	appendLine("discovered", "", int64(m.Discovered))
	appendLine("ejected", "", int64(m.Ejected))
	appendLine("sighup_applied", "", f.reloadsApplied.Load())
	appendLine("sighup_rejected", "", f.reloadsRejected.Load())
	return b
}
