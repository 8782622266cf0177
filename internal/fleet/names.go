package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Party identifies a process and the ends of its links: "sidecar:3", "server:s4" or "discovery".
type Party string

func (p Party) role() string {
	role, _, _ := strings.Cut(string(p), ":")
	return role
}

func sidecarParty(n int) Party            { return Party(fmt.Sprintf("sidecar:%d", n+1)) }
func serverParty(name string) Party       { return Party("server:" + name) }
func containsWord(text, word string) bool { return slices.Contains(strings.Fields(text), word) }

// partySelector resolves the party selections in the faults of a schedule.
type partySelector struct {
	schedule *Schedule
}

func (s *Schedule) selector() partySelector { return partySelector{s} }

// serverZone returns the zone of the n-th server, counted from 0. Servers are assigned to the zones
// in turn.
func (s *Schedule) serverZone(n int) string { return s.Zones[n%len(s.Zones)] }

// sidecarZone returns the zone that the n-th sidecar is in, counted from 0.
func (s *Schedule) sidecarZone(n int) string { return s.Zones[n%len(s.Zones)] }

func serverName(n int) string { return fmt.Sprintf("s%d", n+1) }

// resolve returns the parties that a comma-separated selection names. Its elements are sidecars,
// sidecar:3, sidecar:2-5, home:ZONE (the sidecars in the zone), servers, server:s3, zone:ZONE (the
// servers in the zone), zone:ZONE:2/3 (every third of these servers, from the second on) and
// discovery. An element that selects no party is an error.
func (p partySelector) resolve(text string) (parties []Party, err error) {
	for _, word := range strings.Split(text, ",") {
		word = strings.TrimSpace(word)
		kind, argument, _ := strings.Cut(word, ":")
		before := len(parties)
		switch kind {
		case "sidecars", "home":
			for i := range p.schedule.Sidecars {
				if kind == "sidecars" || p.schedule.sidecarZone(i) == argument {
					parties = append(parties, sidecarParty(i))
				}
			}
		case "sidecar":
			firstText, lastText, isRange := strings.Cut(argument, "-")
			if !isRange {
				lastText = firstText
			}
			first, firstErr := strconv.Atoi(firstText)
			last, lastErr := strconv.Atoi(lastText)
			if firstErr != nil || lastErr != nil || first < 1 || last > p.schedule.Sidecars {
				return nil, fmt.Errorf("%q: sidecar numbers must be between 1 and %d", word, p.schedule.Sidecars)
			}
			for i := first - 1; i < last; i++ {
				parties = append(parties, sidecarParty(i))
			}
		case "servers", "zone":
			argument, part, hasPart := strings.Cut(argument, ":")
			partNumber, parts := 1, 1
			if hasPart {
				if fields, _ := fmt.Sscanf(part, "%d/%d", &partNumber, &parts); fields != 2 || partNumber < 1 || partNumber > parts || parts > p.schedule.ServersPerZone {
					return nil, fmt.Errorf("%q: a part of the %d servers of a zone must have the form 1/2", word, p.schedule.ServersPerZone)
				}
			}
			for i := range p.schedule.ServersPerZone * len(p.schedule.Zones) {
				if (kind == "servers" || p.schedule.serverZone(i) == argument) && i/len(p.schedule.Zones)%parts == partNumber-1 {
					parties = append(parties, serverParty(serverName(i)))
				}
			}
		case "server":
			for i := range p.schedule.ServersPerZone * len(p.schedule.Zones) {
				if serverName(i) == argument {
					parties = append(parties, serverParty(argument))
				}
			}
		case "discovery":
			parties = append(parties, "discovery")
		}
		if len(parties) == before {
			return nil, fmt.Errorf("%q selects no party of this fleet", word)
		}
	}
	return parties, nil
}
