package membership

import (
	"slices"
	"time"

	"chalkrack"
)

// AddressTable decides which server is at an address that a list gives to several: a process that has
// come up at the address of one that is gone and is still listed. It follows all lists of a source, and
// must not be used concurrently. The zero value is ready for use.
type AddressTable struct {
	owners     map[string]owner  // by address
	addresses  map[string]string // of the owners, by name
	superseded map[string]string // the address at which a server is no longer, by the server's name
}

// owner is the server at an address.
type owner struct {
	name    string
	started time.Duration
}

// Resolve returns the list with each server that another one has replaced at its address as gone. The
// server that started later is there; if both started at the same time, the one that was listed later.
// Resolve does not change l, and returns it if there is nothing to change.
func (t *AddressTable) Resolve(l *List) *List {
	if t.owners == nil {
		t.owners, t.addresses, t.superseded = make(map[string]owner), make(map[string]string), make(map[string]string)
	}
	if l.Complete {
		t.dropUnlisted(l)
	}
	for _, entry := range l.Entries { // before others come to the addresses that become free
		if t.addresses[entry.Name] != entry.Address || entry.State == chalkrack.Gone {
			t.leave(entry.Name)
		}
	}
	var replaced []string
	for _, entry := range l.Entries {
		if loser := t.place(entry); loser != "" {
			replaced = append(replaced, loser)
		}
	}
	if len(replaced) == 0 {
		return l
	}
	resolved := *l
	resolved.Entries = slices.Clone(l.Entries)
	for _, name := range replaced {
		at := slices.IndexFunc(resolved.Entries, func(e Entry) bool { return e.Name == name })
		if at < 0 {
			resolved.Entries = append(resolved.Entries, Entry{Endpoint: chalkrack.Endpoint{Name: name}})
			at = len(resolved.Entries) - 1
		}
		resolved.Entries[at].State = chalkrack.Gone
	}
	return &resolved
}

// dropUnlisted forgets the servers that a complete list does not name.
func (t *AddressTable) dropUnlisted(l *List) {
	listed := make(map[string]bool, len(l.Entries))
	for _, entry := range l.Entries {
		listed[entry.Name] = true
	}
	for name := range t.addresses {
		if !listed[name] {
			t.leave(name)
		}
	}
	for name := range t.superseded {
		if !listed[name] {
			delete(t.superseded, name)
		}
	}
}

// place enters a server and returns the name of the server that is replaced: the one that was at its
// address, the server itself if another one is there, or "".
func (t *AddressTable) place(entry Entry) (replaced string) {
	if entry.State == chalkrack.Gone {
		delete(t.superseded, entry.Name)
		return ""
	}
	present, isTaken := t.owners[entry.Address]
	wasSuperseded := t.superseded[entry.Name] == entry.Address
	switch {
	case !isTaken || present.name == entry.Name:
	case entry.Started > present.started, entry.Started == present.started && !wasSuperseded:
		t.leave(present.name)
		t.superseded[present.name] = entry.Address
		replaced = present.name
	default:
		t.superseded[entry.Name] = entry.Address
		return entry.Name
	}
	delete(t.superseded, entry.Name)
	t.owners[entry.Address], t.addresses[entry.Name] = owner{entry.Name, entry.Started}, entry.Address
	return replaced
}

// leave removes a server from its address, if it is at one.
func (t *AddressTable) leave(name string) {
	if address, ok := t.addresses[name]; ok {
		delete(t.owners, address)
		delete(t.addresses, name)
	}
}
