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

// maxEvents limits the events of a History. Later events are only counted.
const maxEvents = 1 << 20

// Kinds of an Event.
const (
	EventCall        = "call"    // a client called the sidecar Party, with Verdict after Elapsed
	EventArrival     = "arrive"  // a whole request arrived at the server Party
	EventSend        = "sent"    // the sidecar Party wrote the first byte of a request to the server Detail, and the last recorded byte after Elapsed
	EventFaultStart  = "fault"   // the fault Detail began
	EventFaultEnd    = "mended"  // the fault Detail ended
	EventProcess     = "process" // the process of Party changed its state, as Detail says
	EventLogLine     = "log"     // Party logged the line Detail
	EventStarved     = "starved" // the machine did not let this program run for Elapsed
	EventMeasurement = "figure"  // the measurement Detail is Value at the end
)

// Event is one line of a history. Times are relative to the start of the load.
type Event struct {
	At          time.Duration `json:"at_ns"`
	Kind        string        `json:"kind"`
	Party       Party         `json:"who,omitempty"`
	ID          string        `json:"id,omitempty"`
	Class       string        `json:"class,omitempty"`
	Verdict     string        `json:"verdict,omitempty"` // of a call: served, refused, failed, none or unsent; of a send: doubtful if the time is uncertain, or empty
	Elapsed     time.Duration `json:"took_ns,omitempty"`
	Deadline    time.Duration `json:"wait_ns,omitempty"` // time that the client allows for the call
	Zone        string        `json:"zone,omitempty"`
	Executed    bool          `json:"ran,omitempty"`        // the server executed the request
	DrainingFor time.Duration `json:"drained_ns,omitempty"` // time for which the server had been draining
	Detail      string        `json:"what,omitempty"`
	Value       float64       `json:"value,omitempty"`
}

// Header is the first line of a history.
type Header struct {
	Schedule      *Schedule         `json:"schedule"`
	ClassEffects  map[string]string `json:"effects"` // by class: safe, keyed or unsafe
	EffectCounts  map[string]int    `json:"runs"`    // number of effects by request ID, where above 1
	Fallen        []string          `json:"fallen"`  // servers that failed from overload while cold
	DroppedEvents int               `json:"lost"`    // number of events beyond maxEvents
}

// History records what the clients, servers, sidecars and links of a run observed.
type History struct {
	Header
	Events []Event

	mu       sync.Mutex
	started  time.Time
	finished bool
}

// now returns the time since the start of the load.
func (h *History) now() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.started)
}

// add records an event. If its time is 0 it gets the current time.
func (h *History) add(e Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.finished {
		return
	}
	if e.At == 0 {
		e.At = time.Since(h.started)
	}
	if len(h.Events) >= maxEvents {
		h.DroppedEvents++
		return
	}
	h.Events = append(h.Events, e)
}

// finish sorts the events by time and ignores later ones, because processes that still run continue
// to log while the history is read.
func (h *History) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.finished = true
	slices.SortStableFunc(h.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// Write writes the history as JSON lines: the header, then one line for each event.
func (h *History) Write(w io.Writer) error {
	buffer := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffer)
	if err := encoder.Encode(&h.Header); err != nil {
		return err
	}
	for n := range h.Events {
		if err := encoder.Encode(&h.Events[n]); err != nil {
			return err
		}
	}
	return buffer.Flush()
}

// ReadHistory reads a history that Write wrote. Errors name the line.
func ReadHistory(r io.Reader) (*History, error) {
	h := new(History)
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<22)
	for n := 1; lines.Scan(); n++ {
		var err error
		if n == 1 {
			err = json.Unmarshal(lines.Bytes(), &h.Header)
			if err == nil && h.Schedule == nil {
				err = fmt.Errorf("the header has no schedule")
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
		return nil, fmt.Errorf("history: the file is empty")
	}
	return h, nil
}
