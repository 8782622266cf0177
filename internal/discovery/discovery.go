// Package discovery follows the list of servers that a discovery service publishes. A Watcher
// keeps one long-running request (a watch) open to the service and hands on each list that it
// sends. Parse reads a single list.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"time"

	"chalkrack"
	"chalkrack/internal/membership"
)

// Parse parses a server list in the JSON format of the discovery service. It logs and skips
// invalid entries, and returns an error if the list itself is invalid or has no index.
func Parse(data []byte) (*membership.List, error) {
	var raw struct {
		Index     *int64
		Snapshot  bool
		Endpoints []json.RawMessage
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if raw.Index == nil {
		return nil, errors.New("discovery: list has no index")
	}
	l := &membership.List{Version: *raw.Index, Complete: raw.Snapshot, Entries: make([]membership.Entry, 0, len(raw.Endpoints))}
	for _, r := range raw.Endpoints {
		e, err := parseEntry(r)
		if err != nil {
			slog.Warn("invalid entry in server list skipped", "entry", string(r[:min(len(r), 200)]), "err", err)
			continue
		}
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

var states = map[string]chalkrack.State{"up": chalkrack.Serving, "draining": chalkrack.Draining, "removed": chalkrack.Gone}

func parseEntry(data []byte) (membership.Entry, error) {
	var raw struct {
		Name, Address, Zone, Status string
		Group                       int
		Weight                      float64
		SinceMs                     float64 `json:"since_ms"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return membership.Entry{}, err
	}
	state, ok := states[raw.Status]
	switch {
	case raw.Name == "":
		return membership.Entry{}, errors.New("entry has no name")
	case !ok:
		return membership.Entry{}, fmt.Errorf("unknown status %q", raw.Status)
	case raw.SinceMs < 0 || raw.SinceMs > math.MaxInt64/1e6:
		return membership.Entry{}, errors.New("since_ms out of range")
	}
	if state != chalkrack.Gone {
		if _, _, err := net.SplitHostPort(raw.Address); err != nil {
			return membership.Entry{}, err
		}
	}
	return membership.Entry{
		Endpoint: chalkrack.Endpoint{
			Name:    raw.Name,
			Zone:    raw.Zone,
			Group:   raw.Group,
			Hint:    raw.Weight,
			Started: time.Duration(raw.SinceMs * float64(time.Millisecond)),
			State:   state,
		},
		Address: raw.Address,
	}, nil
}
