package maintenance

import (
	"chalkrack"
	"chalkrack/internal/membership"
)

// Source is a list of servers that the operators' changes apply to. Each path to servers has one.
type Source struct {
	name      string // unique; the same in all processes of a sidecar
	network   string // of the addresses, such as tcp
	listed    map[string]membership.Entry
	effective map[string]membership.Entry // listed, with the operators' changes applied
	atAddress map[string]map[string]bool  // names of the listed servers by address
}

func newSource(name, network string) *Source {
	return &Source{name: name, network: network, listed: make(map[string]membership.Entry), effective: make(map[string]membership.Entry), atAddress: make(map[string]map[string]bool)}
}

// Update is a list of what changes in a source.
type Update struct {
	Source *Source
	List   *membership.List
}

// endpoint is an address in a network.
type endpoint struct{ network, address string }

// endpointOf returns the endpoint of an entry of the source.
func (src *Source) endpointOf(e membership.Entry) endpoint { return endpoint{src.network, e.Address} }

// set enters a server, or removes one that is gone.
func (src *Source) set(e membership.Entry) {
	if earlier, ok := src.listed[e.Name]; ok {
		delete(src.listed, e.Name)
		delete(src.atAddress[earlier.Address], e.Name)
		if len(src.atAddress[earlier.Address]) == 0 {
			delete(src.atAddress, earlier.Address)
		}
	}
	if e.State == chalkrack.Gone {
		return
	}
	src.listed[e.Name] = e
	if src.atAddress[e.Address] == nil {
		src.atAddress[e.Address] = make(map[string]bool)
	}
	src.atAddress[e.Address][e.Name] = true
}

func (src *Source) clear() {
	clear(src.listed)
	clear(src.effective)
	clear(src.atAddress)
}

// identities holds the addresses at which the sources list the servers that operators have changed, or
// last listed them: a server that another source has under another name is known by its address.
type identities struct {
	endpoints map[string]map[string]endpoint // by server and source name
	servers   map[endpoint]map[string]int    // by endpoint: for each server, how many sources have it there
}

func newIdentities() identities {
	return identities{endpoints: make(map[string]map[string]endpoint), servers: make(map[endpoint]map[string]int)}
}

// follows reports whether a server's addresses are followed.
func (d *identities) follows(id string) bool { return d.endpoints[id] != nil }

// follow follows a server's addresses from now on.
func (d *identities) follow(id string, sources []*Source) {
	if !d.follows(id) {
		d.endpoints[id] = make(map[string]endpoint)
	}
	for _, src := range sources {
		if e, ok := src.listed[id]; ok {
			d.put(id, src.name, src.endpointOf(e))
		}
	}
}

// put records where a source has a server.
func (d *identities) put(id, source string, at endpoint) {
	earlier, known := d.endpoints[id][source]
	if known {
		d.drop(id, earlier)
	}
	d.endpoints[id][source] = at
	if d.servers[at] == nil {
		d.servers[at] = make(map[string]int)
	}
	d.servers[at][id]++
}

// drop removes one source's record of a server at an endpoint.
func (d *identities) drop(id string, at endpoint) {
	if d.servers[at][id]--; d.servers[at][id] == 0 {
		delete(d.servers[at], id)
	}
	if len(d.servers[at]) == 0 {
		delete(d.servers, at)
	}
}

// forget ends the following of a server's addresses.
func (d *identities) forget(id string) {
	for _, at := range d.endpoints[id] {
		d.drop(id, at)
	}
	delete(d.endpoints, id)
}

// endpointSet is a set of endpoints whose servers may have changed.
type endpointSet map[endpoint]bool

// addServer adds all endpoints of a server.
func (set endpointSet) addServer(d *identities, id string) {
	for _, at := range d.endpoints[id] {
		set[at] = true
	}
}

// addKnown adds an endpoint if a server that operators have changed is there.
func (set endpointSet) addKnown(d *identities, at endpoint) {
	if len(d.servers[at]) > 0 {
		set[at] = true
	}
}

// isAt reports whether a server is at an endpoint by any of the sources that have it there. A source
// that doesn't list the server any more, and has another one there, does not count.
func (s *Set) isAt(id string, at endpoint) bool {
	for name, has := range s.identities.endpoints[id] {
		if has != at {
			continue
		}
		src := s.sourceByName(name)
		if src == nil { // of another process of the sidecar
			return true
		}
		if _, listed := src.listed[id]; listed || len(src.atAddress[at.address]) == 0 {
			return true
		}
	}
	return false
}

func (s *Set) sourceByName(name string) *Source {
	for _, src := range s.sources {
		if src.name == name {
			return src
		}
	}
	return nil
}

// othersAt returns the servers that others have at the address of an entry. A source that had one of
// them there itself tells it from the entry.
func (s *Set) othersAt(src *Source, e membership.Entry) (ids []string) {
	at := src.endpointOf(e)
	for id := range s.identities.servers[at] {
		if id != e.Name && s.identities.endpoints[id][src.name] != at && s.isAt(id, at) {
			ids = append(ids, id)
		}
	}
	return ids
}
