// Package membership holds the list of servers as whoever names them tells it and
// the core takes it: discovery, a fixed list, or another source.
package membership

import "chalkrack"

// Entry is one server on the list, with the address that it has for this process.
type Entry struct {
	chalkrack.Endpoint
	Address string // host:port
}

// List is a list of servers, or of those that changed.
type List struct {
	Index   int64 // the version, as its source counts them
	Whole   bool  // what it does not name has gone
	Entries []Entry
}
