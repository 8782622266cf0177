// Package features reads the operators' settings, deploy/features.toml, which cover what
// the platform's configuration does not. Each subsystem has a section, and everything is
// disabled by default. Parsing is strict: an unknown field or an invalid value prevents
// the sidecar from starting.
package features

import (
	"fmt"
	"os"
	"strings"
	"unicode/utf8"
)

// Version is the version of the file format; no other is supported.
const Version = 1

// maxFileBytes limits the size of a file; a longer one can't be a configuration.
const maxFileBytes = 1 << 20

// File holds the settings of a file, and the defaults of those it leaves out.
type File struct {
	Version int `toml:"version"`
	// Answers configures which responses count as answers.
	Answers Answers `toml:"answers"`
	// Paths maps exact paths to classes, for clients whose paths do not begin with the
	// class.
	Paths map[string]string `toml:"paths"`
	// Radius configures the RADIUS front for counter terminals.
	Radius Radius `toml:"radius"`
	// Bodies configures the buffering of request bodies for further attempts.
	Bodies Bodies `toml:"bodies"`
	// Log enables additional log output.
	Log Log `toml:"log"`
	// Admin configures the socket for operators' commands.
	Admin Admin `toml:"admin"`
	// Config configures changes of the configuration at run time.
	Config Config `toml:"config"`
	// Weights configures weights of the platform's servers that come from a plan.
	Weights Weights `toml:"weights"`
	// Level configures the levels of reduced service.
	Level Level `toml:"level"`
	// Duty configures probing that is shared among sidecars.
	Duty Duty `toml:"duty"`
	// Zones configures the evacuation of failing zones.
	Zones Zones `toml:"zones"`
	// Listeners are additional addresses at which clients may connect.
	Listeners []Listener `toml:"listeners"`
	// Pools are additional groups of servers; Routes assign requests to them.
	Pools  []Pool  `toml:"pools"`
	Routes []Route `toml:"routes"`

	name  string
	lines lineIndex
}

// Answers is the section [answers].
type Answers struct {
	// PassClientErrors passes 4xx responses other than 408 and 429 on to the client.
	// Otherwise every response but 200 is a failed attempt, as on the operators' platform.
	PassClientErrors bool `toml:"pass_client_errors"`
}

// Log is the section [log].
type Log struct {
	// Traces writes the trace of each call that was not served within its aim to standard
	// error, as one line of JSON.
	Traces bool `toml:"stories"`
}

// Default returns the settings of an empty file.
func Default() *File {
	return &File{Version: Version, Radius: defaultRadius(), Bodies: defaultBodies(), Config: defaultConfig(), Weights: defaultWeights(), Duty: defaultDuty(), Zones: defaultZones()}
}

// Problem is one error in a file.
type Problem struct {
	File  string
	Line  int    // counted from 1; 0: the problem concerns the whole file
	Field string // path with dots between its parts; empty if the text is not valid TOML
	Text  string
}

// Error implements error. It returns one line that names file, line and field.
func (p *Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at += fmt.Sprintf(":%d", p.Line)
	}
	if p.Field != "" {
		at += ": " + p.Field
	}
	return at + ": " + oneLine(p.Text)
}

// oneLine replaces line breaks, so that a problem takes one line of a log.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// Problems are all errors in a file, in the order of their lines.
type Problems []*Problem

// Error implements error. It returns the first problem and the number of the others.
func (p Problems) Error() string {
	if len(p) == 1 {
		return p[0].Error()
	}
	return fmt.Sprintf("%v (and %d more: fawnctl check %s)", p[0], len(p)-1, p[0].File)
}

// Read reads and parses a file. The error is a Problems, or the cause if the file can't be
// read.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(path, data)
}

// Parse parses the text of a file; name appears in errors. The error is a Problems.
func Parse(name string, data []byte) (*File, error) {
	f := Default()
	f.name = name
	if len(data) > maxFileBytes {
		return nil, Problems{{File: name, Text: fmt.Sprintf("over %d bytes long", maxFileBytes)}}
	}
	if !utf8.Valid(data) {
		return nil, Problems{{File: name, Text: "no UTF-8"}}
	}
	if bad := f.decode(data); len(bad) > 0 {
		return nil, bad
	}
	f.setPoolDefaults()
	c := &checker{file: f}
	f.check(c)
	if len(c.problems) > 0 {
		c.problems.sort()
		return nil, c.problems
	}
	return f, nil
}

// check reports values that are out of range.
func (f *File) check(c *checker) {
	c.require(f.Version == Version, "version", "must be %d, not %d", Version, f.Version)
	for _, path := range sortedKeys(f.Paths) {
		c.require(strings.HasPrefix(path, "/"), "paths."+path, "the path must begin with '/'")
		c.require(f.Paths[path] != "", "paths."+path, "names no class")
	}
	f.Radius.check(c)
	f.Bodies.check(c)
	f.Config.check(c)
	f.Weights.check(c)
	f.Level.check(c)
	f.Duty.check(c)
	f.Zones.check(c, f)
	f.checkRoutes(c)
	c.require(f.Admin.Socket == "" || len(f.Admin.Socket) <= maxSocketPathBytes, "admin.socket", "must be %d bytes long at most", maxSocketPathBytes)
}

// maxSocketPathBytes limits the path of a Unix socket: the limit in unix(7), less the suffix
// that is added while the socket is created.
const maxSocketPathBytes = 90

// CheckClasses reports classes that the file names and the platform's settings do not have;
// known reports whether a class exists. The error is a Problems.
func (f *File) CheckClasses(known func(name string) bool) error {
	c := &checker{file: f}
	for _, path := range sortedKeys(f.Paths) {
		c.require(known(f.Paths[path]), "paths."+path, "there is no class %q", f.Paths[path])
	}
	for n, r := range f.Routes {
		c.require(r.Class == "" || known(r.Class), fmt.Sprintf("routes[%d].class", n), "there is no class %q", r.Class)
	}
	for _, name := range sortedKeys(f.Bodies.Shares) {
		c.require(known(name), "bodies.shares."+name, "there is no class %q", name)
	}
	return c.err()
}

// CheckPlatform checks the file against the platform's limits on memory and sockets.
// inMemory reports that the folder for bodies is on a memory-backed file system. The error
// is a Problems.
func (f *File) CheckPlatform(memoryMB, sockets int, inMemory bool) error {
	c := &checker{file: f}
	f.Bodies.checkPlatform(c, memoryMB, sockets, inMemory)
	conns := 0
	for _, p := range f.Pools {
		conns += p.MaxConnections
	}
	c.require(conns <= sockets/2, "pools", "max_connections add up to %d, over half of the platform's %d sockets", conns, sockets)
	return c.err()
}
