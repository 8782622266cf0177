package haproxy

import (
	"fmt"
	"strings"
)

// Source is one file of a configuration. Name is the path that problems and locations report.
type Source struct {
	Name string
	Text string
}

// Directive is a line of a file that has words or could not be parsed.
type Directive struct {
	File string
	Line
	// Active says whether the conditions of all blocks around the directive are met.
	Active Truth
}

// Location returns the directive's file and line as "file:line", for messages.
func (d *Directive) Location() string { return fmt.Sprintf("%s:%d", d.File, d.Pos.Line) }

// Section is a part of a configuration, from its first line to the first line of the next
// section.
type Section struct {
	Kind         string // the section's keyword, such as "frontend"; it may be unknown to HAProxy
	Name         string
	DefaultsName string // the defaults section that its "from" names; empty if it has none
	Head         *Directive
	// Defaults is the defaults section that applies: the named one, otherwise the last one
	// before this section. A defaults section inherits only from the one that it names.
	Defaults   *Section
	Directives []*Directive
	Known      bool // whether HAProxy has sections of this kind
}

// Problem is an error in the configuration files. It is encoded as JSON in import reports.
type Problem struct {
	File string
	Pos
	Text string
}

// Error implements error. It returns one line of the form "file:line:column: text".
func (p *Problem) Error() string { return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Col, p.Text) }

// Config is the configuration that several files form together, in the order of the files.
type Config struct {
	Sections []*Section
	// BlockDirectives are the lines that begin with a dot, such as .if and .endif;
	// OutsideDirectives are the lines before the first section of a file.
	BlockDirectives, OutsideDirectives []*Directive
	Problems                           []*Problem
}

// sectionKinds are the sections that HAProxy has, from section 2 of the manual onwards.
var sectionKinds = map[string]bool{
	"global": true, "defaults": true, "frontend": true, "backend": true, "listen": true, "peers": true, "resolvers": true,
	"mailers": true, "program": true, "cache": true, "ring": true, "userlist": true, "fcgi-app": true, "http-errors": true,
	"log-forward": true, "log-profile": true, "crt-store": true, "traces": true, "acme": true,
}

// proxyKinds are the kinds of section that inherit settings from a defaults section.
var proxyKinds = map[string]bool{"frontend": true, "backend": true, "listen": true, "defaults": true}

// Options control how files are read.
type Options struct {
	Env     Env    // looks up environment variables; nil: none is set
	Version string // of the HAProxy that the files are written for; empty: unknown
	// IsKnownDirective reports whether HAProxy knows a directive of that name in sections of that
	// kind; nil: every directive is known. In a file whose directives are indented, an
	// unknown word in column 1 begins a section of an unknown kind.
	IsKnownDirective func(kind, name string) bool
}

// Read parses files as HAProxy does: one after the other, as one configuration. It does not
// stop at errors: it records each one in Problems and continues with the next line.
func Read(files []Source, options Options) *Config {
	if options.Env == nil {
		options.Env = func(string) (string, bool) { return "", false }
	}
	r := &reader{options: options, config: new(Config)}
	for _, f := range files {
		r.readFile(f)
	}
	r.resolveDefaults()
	return r.config
}

// block is an open conditional block.
type block struct {
	start        *Directive
	outerActive  Truth
	branchActive Truth // whether the current branch is the one that applies
	branchTaken  Truth // whether the condition of any branch so far is met
	sawElse      bool  // .else was read
}

// reader holds the state while files are read.
type reader struct {
	options Options
	config  *Config
	section *Section
	blocks  []block
}

// addProblem records an error at a position in the directive's file.
func (r *reader) addProblem(directive *Directive, pos Pos, format string, args ...any) {
	r.config.Problems = append(r.config.Problems, &Problem{directive.File, pos, fmt.Sprintf(format, args...)})
}

// readFile reads one file. Sections and conditional blocks end with the file.
func (r *reader) readFile(source Source) {
	if len(source.Text) > MaxFileBytes {
		r.config.Problems = append(r.config.Problems, &Problem{source.Name, Pos{1, 1}, fmt.Sprintf("file is longer than %d bytes", MaxFileBytes)})
		return
	}
	sawIndentation := false
	r.section = nil // a section does not continue in the next file
	for _, line := range ParseLines(source.Text, r.options.Env) {
		if len(line.Words) == 0 && line.Err == "" {
			continue
		}
		directive := &Directive{File: source.Name, Line: line, Active: r.activeInBlocks()}
		if line.Err != "" {
			r.addProblem(directive, line.Pos, "%s", line.Err)
		}
		keyword := line.Keyword()
		atLineStart := len(line.Words) > 0 && line.Words[0].Pos.Col == 1
		sawIndentation = sawIndentation || !atLineStart
		switch {
		case strings.HasPrefix(keyword, "."):
			r.config.BlockDirectives = append(r.config.BlockDirectives, directive)
			r.readConditional(directive)
		case sectionKinds[keyword]:
			r.beginSection(directive, true)
		case atLineStart && sawIndentation && r.options.IsKnownDirective != nil && (r.section == nil || !r.options.IsKnownDirective(r.section.Kind, keyword)):
			r.addProblem(directive, line.Pos, "unknown section %q", keyword)
			r.beginSection(directive, false)
		case r.section == nil:
			r.addProblem(directive, line.Pos, "%q appears before the first section", keyword)
			r.config.OutsideDirectives = append(r.config.OutsideDirectives, directive)
		default:
			r.section.Directives = append(r.section.Directives, directive)
		}
	}
	for _, b := range r.blocks {
		r.addProblem(b.start, b.start.Pos, "conditional block without .endif")
	}
	r.blocks = nil
}

// activeInBlocks returns whether the conditions of all blocks that are open now are met.
func (r *reader) activeInBlocks() Truth {
	if n := len(r.blocks); n > 0 {
		return r.blocks[n-1].outerActive.and(r.blocks[n-1].branchActive)
	}
	return True
}

// beginSection starts a section at its first line. known says whether HAProxy has sections
// of that kind.
func (r *reader) beginSection(head *Directive, known bool) {
	section := &Section{Kind: head.Keyword(), Head: head, Known: known}
	args := head.Args()
	if len(args) > 0 && args[0] != "from" {
		section.Name, args = args[0], args[1:]
	}
	if len(args) > 1 && args[0] == "from" && proxyKinds[section.Kind] {
		section.DefaultsName = args[1]
	}
	r.section = section
	r.config.Sections = append(r.config.Sections, section)
}

// readConditional reads a line that begins with a dot: a condition or a message (section 2.4
// of the manual).
func (r *reader) readConditional(directive *Directive) {
	evaluate := func() Truth {
		t, err := Evaluate(strings.Join(directive.Args(), " "), r.options.Version, r.options.Env)
		if err != nil {
			r.addProblem(directive, directive.Pos, "%s: %v", directive.Keyword(), err)
			return Unknown
		}
		return t
	}
	depth := len(r.blocks)
	switch keyword := directive.Keyword(); {
	case keyword == ".if" && depth >= maxConditionDepth:
		r.addProblem(directive, directive.Pos, "conditional blocks are nested deeper than %d levels", maxConditionDepth)
	case keyword == ".if":
		t := evaluate()
		r.blocks = append(r.blocks, block{start: directive, outerActive: r.activeInBlocks(), branchActive: t, branchTaken: t})
	case keyword == ".diag" || keyword == ".notice" || keyword == ".warning" || keyword == ".alert":
	case keyword != ".elif" && keyword != ".else" && keyword != ".endif":
		r.addProblem(directive, directive.Pos, "unknown conditional directive %q", keyword)
	case depth == 0:
		r.addProblem(directive, directive.Pos, "%s without .if", keyword)
	case keyword == ".endif":
		r.blocks = r.blocks[:depth-1]
	case r.blocks[depth-1].sawElse:
		r.addProblem(directive, directive.Pos, "%s after .else", keyword)
	default:
		b, t := &r.blocks[depth-1], True
		if b.sawElse = keyword == ".else"; !b.sawElse {
			t = evaluate()
		}
		b.branchActive = t.and(b.branchTaken.not())
		b.branchTaken = b.branchTaken.or(t)
	}
}

// resolveDefaults finds the defaults section of each section, and reports duplicate names,
// unknown defaults and cycles between defaults.
func (r *reader) resolveDefaults() {
	named := make(map[string]*Section)
	for _, section := range r.config.Sections {
		if section.Kind == "defaults" && section.Name != "" && section.Head.Active != False {
			if other := named[section.Name]; other != nil {
				r.addProblem(section.Head, section.Head.Pos, "duplicate defaults %q, first defined at %s", section.Name, other.Head.Location())
				continue
			}
			named[section.Name] = section
		}
	}
	var lastDefaults *Section
	sectionsByName := make(map[string]*Section)
	for _, section := range r.config.Sections {
		if !proxyKinds[section.Kind] || section.Head.Active == False {
			continue
		}
		switch {
		case section.DefaultsName != "":
			if section.Defaults = named[section.DefaultsName]; section.Defaults == nil {
				r.addProblem(section.Head, section.Head.Pos, "unknown defaults %q", section.DefaultsName)
			}
		case section.Kind != "defaults":
			section.Defaults = lastDefaults
		}
		if section.Kind == "defaults" {
			lastDefaults = section
			continue
		}
		// A frontend and a backend may share a name; a listen section counts as both.
		for _, kind := range []string{"frontend", "backend"} {
			if section.Kind != kind && section.Kind != "listen" {
				continue
			}
			if other := sectionsByName[kind+" "+section.Name]; other != nil {
				r.addProblem(section.Head, section.Head.Pos, "duplicate %s %q, first defined at %s", section.Kind, section.Name, other.Head.Location())
			} else {
				sectionsByName[kind+" "+section.Name] = section
			}
		}
	}
	for _, section := range r.config.Sections {
		if section.Kind != "defaults" {
			continue
		}
		slow := section
		for fast := section.Defaults; fast != nil; fast = fast.Defaults {
			if fast == slow || fast == section {
				r.addProblem(section.Head, section.Head.Pos, "cyclic defaults: %q inherits from itself", section.Name)
				section.Defaults = nil
				break
			}
			if fast = fast.Defaults; fast == nil {
				break
			}
			slow = slow.Defaults
		}
	}
}

// AllDirectives calls yield with every directive that applies to the section and the section
// that the directive stands in: first those of its defaults, the outermost first, then its
// own.
func (s *Section) AllDirectives(yield func(d *Directive, owner *Section) bool) {
	var chain []*Section
	for section := s; section != nil; section = section.Defaults {
		chain = append(chain, section)
	}
	for n := len(chain) - 1; n >= 0; n-- {
		for _, d := range chain[n].Directives {
			if !yield(d, chain[n]) {
				return
			}
		}
	}
}
