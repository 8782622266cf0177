package haproxy

import (
	"fmt"
	"strings"
)

// Source is one file of a configuration.
type Source struct {
	Name string
	Text string
}

// Directive is a line that says something, within its section.
type Directive struct {
	File string
	Line
	// Holds says whether the conditional blocks round it hold.
	Holds Truth
}

// At is the place of a directive for people.
func (d *Directive) At() string { return fmt.Sprintf("%s:%d", d.File, d.Pos.Line) }

// Section is a part of a configuration, from its head to the next one's.
type Section struct {
	Kind string // as it stands in the file, also of kinds that do not exist
	Name string
	From string // the defaults that it names
	Head *Directive
	// Defaults are those that hold for it: the named ones, else the last before it.
	Defaults   *Section
	Directives []*Directive
	Known      bool // HAProxy has sections of that kind
}

// Problem is something in the files that can't be read as it stands.
type Problem struct {
	File string
	Pos
	Text string
}

// Error implements error: one line that names the place.
func (p *Problem) Error() string { return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Col, p.Text) }

// Config is what files say together, in their order.
type Config struct {
	Sections []*Section
	// Blocks are the lines of conditional blocks themselves, Outside those before any
	// section.
	Blocks, Outside []*Directive
	Problems        []*Problem
}

// kinds are the sections that HAProxy has (section 2 of the manual and those after it).
var kinds = map[string]bool{
	"global": true, "defaults": true, "frontend": true, "backend": true, "listen": true, "peers": true, "resolvers": true,
	"mailers": true, "program": true, "cache": true, "ring": true, "userlist": true, "fcgi-app": true, "http-errors": true,
	"log-forward": true, "log-profile": true, "crt-store": true, "traces": true, "acme": true,
}

// proxies are the kinds that take settings from defaults.
var proxies = map[string]bool{"frontend": true, "backend": true, "listen": true, "defaults": true}

// Options are what a reading goes by.
type Options struct {
	Env     Env
	Version string // of the HAProxy that the files are for; empty: not known
	// Directive says whether HAProxy knows a directive of that name in sections of that
	// kind; nil: it knows all. An unknown word at the left edge of a file whose
	// directives are indented begins a section of a kind that does not exist.
	Directive func(kind, name string) bool
}

// Read reads files as HAProxy does: one after the other, as one configuration. It never
// fails as a whole: what is wrong stands in Problems, and the rest goes on.
func Read(files []Source, o Options) *Config {
	if o.Env == nil {
		o.Env = func(string) (string, bool) { return "", false }
	}
	r := &reader{o: o, c: new(Config)}
	for _, f := range files {
		r.file(f)
	}
	r.inherit()
	return r.c
}

// block is a conditional block that is open.
type block struct {
	at    *Directive
	outer Truth
	now   Truth // of the branch that is being read
	taken Truth // whether an earlier branch was
	other bool  // .else has come
}

type reader struct {
	o       Options
	c       *Config
	section *Section
	blocks  []block
}

func (r *reader) problem(d *Directive, pos Pos, format string, args ...any) {
	r.c.Problems = append(r.c.Problems, &Problem{d.File, pos, fmt.Sprintf(format, args...)})
}

func (r *reader) file(f Source) {
	if len(f.Text) > TextMost {
		r.c.Problems = append(r.c.Problems, &Problem{f.Name, Pos{1, 1}, fmt.Sprintf("over %d bytes long", TextMost)})
		return
	}
	indented := false
	r.section = nil // each file begins outside of any
	for _, l := range Lines(f.Text, r.o.Env) {
		if len(l.Words) == 0 && l.Err == "" {
			continue
		}
		d := &Directive{File: f.Name, Line: l, Holds: r.holds()}
		if l.Err != "" {
			r.problem(d, l.Pos, "%s", l.Err)
		}
		key := l.Key()
		edge := len(l.Words) > 0 && l.Words[0].Pos.Col == 1
		indented = indented || !edge
		switch {
		case strings.HasPrefix(key, "."):
			r.c.Blocks = append(r.c.Blocks, d)
			r.conditional(d)
		case kinds[key]:
			r.begin(d, true)
		case edge && indented && r.o.Directive != nil && (r.section == nil || !r.o.Directive(r.section.Kind, key)):
			r.problem(d, l.Pos, "there is no section %q", key)
			r.begin(d, false)
		case r.section == nil:
			r.problem(d, l.Pos, "%q stands before any section", key)
			r.c.Outside = append(r.c.Outside, d)
		default:
			r.section.Directives = append(r.section.Directives, d)
		}
	}
	for _, b := range r.blocks {
		r.problem(b.at, b.at.Pos, "a block that does not end")
	}
	r.blocks = nil
}

func (r *reader) holds() Truth {
	if n := len(r.blocks); n > 0 {
		return r.blocks[n-1].outer.and(r.blocks[n-1].now)
	}
	return True
}

// begin begins a section.
func (r *reader) begin(d *Directive, known bool) {
	s := &Section{Kind: d.Key(), Head: d, Known: known}
	args := d.Args()
	if len(args) > 0 && args[0] != "from" {
		s.Name, args = args[0], args[1:]
	}
	if len(args) > 1 && args[0] == "from" && proxies[s.Kind] {
		s.From = args[1]
	}
	r.section = s
	r.c.Sections = append(r.c.Sections, s)
}

// conditional reads a line of a conditional block (section 2.4).
func (r *reader) conditional(d *Directive) {
	evaluate := func() Truth {
		t, err := Evaluate(strings.Join(d.Args(), " "), r.o.Version, r.o.Env)
		if err != nil {
			r.problem(d, d.Pos, "%s: %v", d.Key(), err)
			return Unknown
		}
		return t
	}
	n := len(r.blocks)
	switch key := d.Key(); {
	case key == ".if" && n >= condMost:
		r.problem(d, d.Pos, "over %d blocks within each other", condMost)
	case key == ".if":
		t := evaluate()
		r.blocks = append(r.blocks, block{at: d, outer: r.holds(), now: t, taken: t})
	case key == ".diag" || key == ".notice" || key == ".warning" || key == ".alert":
	case key != ".elif" && key != ".else" && key != ".endif":
		r.problem(d, d.Pos, "%q is no line of a block", key)
	case n == 0:
		r.problem(d, d.Pos, "%s without .if", key)
	case key == ".endif":
		r.blocks = r.blocks[:n-1]
	case r.blocks[n-1].other:
		r.problem(d, d.Pos, "%s behind .else", key)
	default:
		b, t := &r.blocks[n-1], True
		if b.other = key == ".else"; !b.other {
			t = evaluate()
		}
		b.now = t.and(b.taken.not())
		b.taken = b.taken.or(t)
	}
}

// inherit finds the defaults of each section, and what is wrong with names.
func (r *reader) inherit() {
	named := make(map[string]*Section)
	for _, s := range r.c.Sections {
		if s.Kind == "defaults" && s.Name != "" && s.Head.Holds != False {
			if other := named[s.Name]; other != nil {
				r.problem(s.Head, s.Head.Pos, "defaults %q is there already, at %s", s.Name, other.Head.At())
				continue
			}
			named[s.Name] = s
		}
	}
	var last *Section
	seen := make(map[string]*Section)
	for _, s := range r.c.Sections {
		if !proxies[s.Kind] || s.Head.Holds == False {
			continue
		}
		switch {
		case s.From != "":
			if s.Defaults = named[s.From]; s.Defaults == nil {
				r.problem(s.Head, s.Head.Pos, "there are no defaults %q", s.From)
			}
		case s.Kind != "defaults":
			s.Defaults = last
		}
		if s.Kind == "defaults" {
			last = s
			continue
		}
		// A listen is both; the names of frontends and of backends are two worlds.
		for _, side := range []string{"frontend", "backend"} {
			if s.Kind != side && s.Kind != "listen" {
				continue
			}
			if other := seen[side+" "+s.Name]; other != nil {
				r.problem(s.Head, s.Head.Pos, "%s %q is there already, at %s", s.Kind, s.Name, other.Head.At())
			} else {
				seen[side+" "+s.Name] = s
			}
		}
	}
	for _, s := range r.c.Sections {
		if s.Kind != "defaults" {
			continue
		}
		slow := s
		for fast := s.Defaults; fast != nil; fast = fast.Defaults {
			if fast == slow || fast == s {
				r.problem(s.Head, s.Head.Pos, "a cycle of from: %q", s.Name)
				s.Defaults = nil
				break
			}
			if fast = fast.Defaults; fast == nil {
				break
			}
			slow = slow.Defaults
		}
	}
}

// All calls yield with what holds for a section: its own directives, and before them
// those of its defaults, the outermost first.
func (s *Section) All(yield func(d *Directive, of *Section) bool) {
	var chain []*Section
	for at := s; at != nil; at = at.Defaults {
		chain = append(chain, at)
	}
	for n := len(chain) - 1; n >= 0; n-- {
		for _, d := range chain[n].Directives {
			if !yield(d, chain[n]) {
				return
			}
		}
	}
}
