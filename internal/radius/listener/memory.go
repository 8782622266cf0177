package listener

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"chalkrack/internal/radius"
	"chalkrack/internal/radius/replies"
	"chalkrack/internal/radius/transport"
)

// memory is the form of what a Listener hands on to the next.
type memory struct {
	Version int
	Saved   time.Time
	Calls   []remembered
}

type remembered struct {
	Client        netip.Addr
	Code, ID      byte
	Authenticator []byte
	Event         []byte
	Answer        []byte `json:",omitempty"`
	MayHaveRun    string `json:",omitempty"` // the server, of what was given up
	Until         time.Time
}

const memoryVersion = 1

var errMemory = errors.New("radius: no memory of a listener")

// Save writes down the calls that have ended and are remembered. Answers under way are
// none of it: wait for them first.
func (l *Listener) Save(w io.Writer) error {
	l.mu.Lock()
	now := time.Now()
	m := memory{Version: memoryVersion, Saved: now}
	for _, r := range l.table.Records(l.now()) {
		c := remembered{Client: r.Key.Client, Code: r.Key.Code, ID: r.Key.ID, Authenticator: r.Key.Authenticator[:], Event: []byte(r.Event), Answer: r.Answer, Until: now.Add(r.Remaining)}
		if before, ok := r.RetryState.(*transport.Request); ok {
			c.MayHaveRun = before.SentTo()
		}
		if c.Answer != nil || c.MayHaveRun != "" { // what never ran is new when it comes again
			m.Calls = append(m.Calls, c)
		}
	}
	l.mu.Unlock()
	return json.NewEncoder(w).Encode(m)
}

// Load remembers what another Listener has saved, as far as its time is not over. What
// was given up and may have run is lost: its packet went with the other's sockets. It
// says how many calls it has taken over.
func (l *Listener) Load(r io.Reader) (int, error) {
	var m memory
	if err := json.NewDecoder(r).Decode(&m); err != nil {
		return 0, fmt.Errorf("%w: %w", errMemory, err)
	}
	now := time.Now()
	if m.Version != memoryVersion || m.Saved.After(now) {
		return 0, fmt.Errorf("%w: version %d, saved at %v", errMemory, m.Version, m.Saved)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.table.Len()
	for _, c := range m.Calls {
		if len(c.Authenticator) != len(radius.Authenticator{}) || len(c.Event) > eventSize || len(c.Answer) > radius.MaxPacketBytes || !c.Client.IsValid() || (c.Answer == nil) == (c.MayHaveRun == "") {
			return l.table.Len() - before, fmt.Errorf("%w: a call that is none", errMemory)
		}
		rec := replies.Record{
			Key:   replies.Key{Client: c.Client, Code: c.Code, ID: c.ID, Authenticator: [16]byte(c.Authenticator)},
			Event: string(c.Event), Answer: c.Answer, Remaining: c.Until.Sub(now),
		}
		if c.MayHaveRun != "" {
			rec.RetryState = transport.NewLostRequest(c.MayHaveRun)
		}
		l.table.Restore(l.now(), rec)
	}
	return l.table.Len() - before, nil
}
