// Package features reads the operators' own settings, deploy/features.toml: what the
// platform's configuration does not know. Each subsystem has a section, and everything
// is off by default. It is strict: what it does not know or can't use stops the start.
package features

import (
	"fmt"
	"os"
	"strings"
	"unicode/utf8"
)

// Version is the only one of the file's form so far.
const Version = 1

// fileMost bounds a file: anything longer is no configuration.
const fileMost = 1 << 20

// File is what the file says, its defaults where it says nothing.
type File struct {
	Version int `toml:"version"`
	// Answers says what a server's answer is.
	Answers Answers `toml:"answers"`
	// Paths has the class of requests to exact paths, for clients whose paths do not
	// begin with their class.
	Paths map[string]string `toml:"paths"`
	// Radius takes counter terminals.
	Radius Radius `toml:"radius"`
	// Bodies keeps request bodies for another attempt.
	Bodies Bodies `toml:"bodies"`
	// Log says what is logged beside the usual.
	Log Log `toml:"log"`
	// Admin is the operators' socket.
	Admin Admin `toml:"admin"`
	// Config takes changes of the configuration while the daemon runs.
	Config Config `toml:"config"`
	// Weights are a plan's, of the platform's servers.
	Weights Weights `toml:"weights"`
	// Level is reduced service.
	Level Level `toml:"level"`
	// Duty is shared probing.
	Duty Duty `toml:"duty"`
	// Zones is leaving zones that fail.
	Zones Zones `toml:"zones"`
	// Listeners are further addresses for clients.
	Listeners []Listener `toml:"listeners"`
	// Pools are further servers, Routes say which requests go to which of them.
	Pools  []Pool  `toml:"pools"`
	Routes []Route `toml:"routes"`

	name  string
	lines index
}

// Answers is the section [answers].
type Answers struct {
	// PassClientErrors passes answers of 4xx (but for 408 and 429) on as they came.
	// Otherwise all but 200 are failed attempts, as on the operators' platform.
	PassClientErrors bool `toml:"pass_client_errors"`
}

// Log is the section [log].
type Log struct {
	// Traces writes a line for each call that was not served within its aim, with all
	// that was known, as JSON to standard error.
	Traces bool `toml:"stories"`
}

// Default is a file that says nothing.
func Default() *File {
	return &File{Version: Version, Radius: radiusDefault(), Bodies: bodiesDefault(), Config: configDefault(), Weights: weightsDefault(), Duty: dutyDefault(), Zones: zonesDefault()}
}

// Problem is one complaint about a file.
type Problem struct {
	File  string
	Line  int    // from 1; 0: of the file as a whole
	Field string // with dots between its parts; empty where the text is no TOML
	Text  string
}

// Error implements error: one line that names file, line and field.
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

// oneLine guards a log that has a complaint a line.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// Problems is all that is wrong with a file, in the order of its lines.
type Problems []*Problem

// Error implements error: the first complaint, and how many more there are.
func (p Problems) Error() string {
	if len(p) == 1 {
		return p[0].Error()
	}
	return fmt.Sprintf("%v (and %d more: fawnctl check %s)", p[0], len(p)-1, p[0].File)
}

// Read reads a file. An error is Problems, or says that the file can't be read.
func Read(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	return Parse(path, data)
}

// Parse reads the text of a file. An error is Problems.
func Parse(name string, data []byte) (*File, error) {
	f := Default()
	f.name = name
	if len(data) > fileMost {
		return nil, Problems{{File: name, Text: fmt.Sprintf("over %d bytes long", fileMost)}}
	}
	if !utf8.Valid(data) {
		return nil, Problems{{File: name, Text: "no UTF-8"}}
	}
	if bad := f.decode(data); len(bad) > 0 {
		return nil, bad
	}
	f.poolDefaults()
	c := &checker{file: f}
	f.check(c)
	if len(c.bad) > 0 {
		c.bad.sort()
		return nil, c.bad
	}
	return f, nil
}

// check says which values are out of range.
func (f *File) check(c *checker) {
	c.need(f.Version == Version, "version", "must be %d, not %d", Version, f.Version)
	for _, path := range sorted(f.Paths) {
		c.need(strings.HasPrefix(path, "/"), "paths."+path, "the path must begin with '/'")
		c.need(f.Paths[path] != "", "paths."+path, "names no class")
	}
	f.Radius.check(c)
	f.Bodies.check(c)
	f.Config.check(c)
	f.Weights.check(c)
	f.Level.check(c)
	f.Duty.check(c)
	f.Zones.check(c, f)
	f.checkRoutes(c)
	c.need(f.Admin.Socket == "" || len(f.Admin.Socket) <= socketMost, "admin.socket", "must be %d bytes long at most", socketMost)
}

// socketMost is the longest path of a Unix socket (unix(7)), less what its making adds.
const socketMost = 90

// CheckClasses says which classes are named that the platform's settings do not have.
func (f *File) CheckClasses(known func(name string) bool) error {
	c := &checker{file: f}
	for _, path := range sorted(f.Paths) {
		c.need(known(f.Paths[path]), "paths."+path, "there is no class %q", f.Paths[path])
	}
	for n, r := range f.Routes {
		c.need(r.Class == "" || known(r.Class), fmt.Sprintf("routes[%d].class", n), "there is no class %q", r.Class)
	}
	for _, name := range sorted(f.Bodies.Shares) {
		c.need(known(name), "bodies.shares."+name, "there is no class %q", name)
	}
	return c.all()
}

// CheckPlatform holds the file against the platform's limits. inMemory says that the
// folder of bodies lies in memory.
func (f *File) CheckPlatform(memoryMB, sockets int, inMemory bool) error {
	c := &checker{file: f}
	f.Bodies.checkPlatform(c, memoryMB, sockets, inMemory)
	conns := 0
	for _, p := range f.Pools {
		conns += p.MaxConnections
	}
	c.need(conns <= sockets/2, "pools", "max_connections add up to %d, over half of the platform's %d sockets", conns, sockets)
	return c.all()
}
