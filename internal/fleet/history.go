package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// eventsMost bounds what a History remembers; what comes after is counted only.
const eventsMost = 1 << 20

// What an Event tells of.
const (
	Called  = "call"    // of a client: Verdict, Took; Who is its sidecar
	Arrived = "arrive"  // at a server, Who: a whole request
	Sent    = "sent"    // by Who to the server What: the first byte; Took: until the last so far
	Faulted = "fault"   // What began
	Mended  = "mended"  // What ended
	Process = "process" // Who started, ended, was stopped
	Logged  = "log"     // a line of Who's
	Lagged  = "starved" // the machine kept this program from running for Took
	Figure  = "figure"  // What is Value at the end
)

// Event is one line of a history. Times are from the run's beginning.
type Event struct {
	At      time.Duration `json:"at_ns"`
	Kind    string        `json:"kind"`
	Who     Party         `json:"who,omitempty"`
	ID      string        `json:"id,omitempty"`
	Class   string        `json:"class,omitempty"`
	Verdict string        `json:"verdict,omitempty"`
	Took    time.Duration `json:"took_ns,omitempty"`
	Wait    time.Duration `json:"wait_ns,omitempty"` // that its client had
	Zone    string        `json:"zone,omitempty"`
	Ran     bool          `json:"ran,omitempty"`
	Drained time.Duration `json:"drained_ns,omitempty"` // for how long its server had been draining
	What    string        `json:"what,omitempty"`
	Value   float64       `json:"value,omitempty"`
}

// Head is what a history begins with.
type Head struct {
	Schedule *Schedule         `json:"schedule"`
	Effects  map[string]string `json:"effects"` // of classes: safe, keyed, unsafe
	Runs     map[string]int    `json:"runs"`    // effects by request, where there is more than one or a key
	Fallen   []string          `json:"fallen"`  // servers that were pushed over while cold
	Lost     int               `json:"lost"`    // events past eventsMost
}

// History is what a run saw.
type History struct {
	Head
	Events []Event

	mu    sync.Mutex
	began time.Time
	over  bool
}

func (h *History) now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.began)
}

// add writes an event down; one without a time is of now.
func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over {
		return
	}
	if e.At == 0 {
		e.At = time.Since(h.began)
	}
	if len(h.Events) >= eventsMost {
		h.Lost++
		return
	}
	h.Events = append(h.Events, e)
}

// end puts the events in order, and takes no more: processes that are yet to be ended go on
// to write lines while the history is read.
func (h *History) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.over = true
	slices.SortStableFunc(h.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// Write writes a history: its head, then a line an event.
func (h *History) Write(w io.Writer) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	if err := e.Encode(&h.Head); err != nil {
		return err
	}
	for n := range h.Events {
		if err := e.Encode(&h.Events[n]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// ReadHistory reads what Write wrote. An error names the line.
func ReadHistory(r io.Reader) (*History, error) {
	h := new(History)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<22)
	for n := 1; lines.Scan(); n++ {
		var err error
		if n == 1 {
			err = json.Unmarshal(lines.Bytes(), &h.Head)
			if err == nil && h.Schedule == nil {
				err = fmt.Errorf("no schedule")
			}
		} else {
			var e Event
			if err = json.Unmarshal(lines.Bytes(), &e); err == nil {
				h.Events = append(h.Events, e)
			}
		}
		if err != nil {
			return nil, fmt.Errorf("history: line %d: %w", n, err)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("history: %w", err)
	}
	if h.Schedule == nil {
		return nil, fmt.Errorf("history: empty")
	}
	return h, nil
}
