package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Party is one end of links, or a process: "sidecar:3", "server:s4" or "discovery".
type Party string

func (p Party) kind() string {
	kind, _, _ := strings.Cut(string(p), ":")
	return kind
}

func sidecarParty(n int) Party        { return Party(fmt.Sprintf("sidecar:%d", n+1)) }
func serverParty(name string) Party   { return Party("server:" + name) }
func containsWord(all, w string) bool { return slices.Contains(strings.Fields(all), w) }

// names knows who is in a fleet.
type names struct {
	s *Schedule
}

func (s *Schedule) names() names { return names{s} }

// zoneOf is the zone of the n-th server, from 0: they are dealt out in turn.
func (s *Schedule) zoneOf(n int) string { return s.Zones[n%len(s.Zones)] }

// homeOf is the zone that the n-th sidecar is in.
func (s *Schedule) homeOf(n int) string { return s.Zones[n%len(s.Zones)] }

func serverName(n int) string { return fmt.Sprintf("s%d", n+1) }

// pick reads a choice of parties, with commas between: sidecars, sidecar:3, sidecar:2-5,
// home:ZONE (its sidecars), servers, server:s3, zone:ZONE (its servers), zone:ZONE:2/3 (the
// second third of them, in turn), discovery.
func (n names) pick(text string) (all []Party, err error) {
	for _, word := range strings.Split(text, ",") {
		word = strings.TrimSpace(word)
		kind, what, _ := strings.Cut(word, ":")
		before := len(all)
		switch kind {
		case "sidecars", "home":
			for i := range n.s.Sidecars {
				if kind == "sidecars" || n.s.homeOf(i) == what {
					all = append(all, sidecarParty(i))
				}
			}
		case "sidecar":
			from, to, ranged := strings.Cut(what, "-")
			if !ranged {
				to = from
			}
			first, err1 := strconv.Atoi(from)
			last, err2 := strconv.Atoi(to)
			if err1 != nil || err2 != nil || first < 1 || last > n.s.Sidecars {
				return nil, fmt.Errorf("%q: there are sidecars 1 to %d", word, n.s.Sidecars)
			}
			for i := first - 1; i < last; i++ {
				all = append(all, sidecarParty(i))
			}
		case "servers", "zone":
			what, share, shared := strings.Cut(what, ":")
			nth, of := 1, 1
			if shared {
				if k, _ := fmt.Sscanf(share, "%d/%d", &nth, &of); k != 2 || nth < 1 || nth > of || of > n.s.Servers {
					return nil, fmt.Errorf("%q: a part of a zone's %d servers is such as 1/2", word, n.s.Servers)
				}
			}
			for i := range n.s.Servers * len(n.s.Zones) {
				if (kind == "servers" || n.s.zoneOf(i) == what) && i/len(n.s.Zones)%of == nth-1 {
					all = append(all, serverParty(serverName(i)))
				}
			}
		case "server":
			for i := range n.s.Servers * len(n.s.Zones) {
				if serverName(i) == what {
					all = append(all, serverParty(what))
				}
			}
		case "discovery":
			all = append(all, "discovery")
		}
		if len(all) == before {
			return nil, fmt.Errorf("%q names nobody of this fleet", word)
		}
	}
	return all, nil
}
