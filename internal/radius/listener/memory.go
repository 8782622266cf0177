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

// savedState is the JSON format of the calls that one Listener hands over to the next. The names of
// its fields are part of the format.
type savedState struct {
	Version int
	Saved   time.Time
	Calls   []savedCall
}

// savedCall is a call that has ended.
type savedCall struct {
	Client        netip.Addr
	Code, ID      byte
	Authenticator []byte
	Event         []byte
	Answer        []byte    `json:",omitempty"`
	MayHaveRun    string    `json:",omitempty"` // the server that may have run a call without answer
	Until         time.Time // when the entry expires
}

const savedStateVersion = 1

var errBadSavedState = errors.New("radius: not a valid saved state of a listener")

// Save writes the calls that have ended and are remembered. Calls under way are not included: the
// caller should wait for their end first.
func (l *Listener) Save(w io.Writer) error {
	l.mu.Lock()
	now := time.Now()
	state := savedState{Version: savedStateVersion, Saved: now}
	for _, record := range l.table.Records(l.now()) {
		call := savedCall{Client: record.Key.Client, Code: record.Key.Code, ID: record.Key.ID, Authenticator: record.Key.Authenticator[:], Event: []byte(record.Event), Answer: record.Answer, Until: now.Add(record.Remaining)}
		if request, ok := record.RetryState.(*transport.Request); ok {
			call.MayHaveRun = request.SentTo()
		}
		// A call that no server can have run is a new call when it is retried.
		if call.Answer != nil || call.MayHaveRun != "" {
			state.Calls = append(state.Calls, call)
		}
	}
	l.mu.Unlock()
	return json.NewEncoder(w).Encode(state)
}

// Load adds the calls that another Listener saved and that have not expired, and returns their
// number. A call that was given up and may have run is lost: its packet, and the socket that it was
// sent from, ended with the other Listener's process.
func (l *Listener) Load(r io.Reader) (int, error) {
	var state savedState
	if err := json.NewDecoder(r).Decode(&state); err != nil {
		return 0, fmt.Errorf("%w: %w", errBadSavedState, err)
	}
	now := time.Now()
	if state.Version != savedStateVersion || state.Saved.After(now) {
		return 0, fmt.Errorf("%w: version %d, saved at %v", errBadSavedState, state.Version, state.Saved)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.table.Len()
	for _, call := range state.Calls {
		if len(call.Authenticator) != len(radius.Authenticator{}) || len(call.Event) > eventNameBytes || len(call.Answer) > radius.MaxPacketBytes || !call.Client.IsValid() || (call.Answer == nil) == (call.MayHaveRun == "") {
			return l.table.Len() - before, fmt.Errorf("%w: a call has a missing or invalid field", errBadSavedState)
		}
		record := replies.Record{
			Key:   replies.Key{Client: call.Client, Code: call.Code, ID: call.ID, Authenticator: [16]byte(call.Authenticator)},
			Event: string(call.Event), Answer: call.Answer, Remaining: call.Until.Sub(now),
		}
		if call.MayHaveRun != "" {
			record.RetryState = transport.NewLostRequest(call.MayHaveRun)
		}
		l.table.Restore(l.now(), record)
	}
	return l.table.Len() - before, nil
}
