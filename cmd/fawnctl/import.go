package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/pelletier/go-toml/v2"

	"chalkrack/internal/features"
	"chalkrack/internal/haproxy"
	"chalkrack/internal/haproxy/translate"
)

type importCmd struct {
	Haproxy importHaproxyCmd `cmd:"" name:"haproxy" help:"Convert HAProxy's configuration to routes and pools, with a verdict on each directive."`
}

type importHaproxyCmd struct {
	Files   []string `arg:"" name:"file" help:"Files, or folders whose *.cfg files are read in order of their names."`
	Out     string   `placeholder:"DIR" help:"Write features.toml to this folder; by default nothing is written."`
	Report  string   `enum:"text,json" default:"text" help:"Format of the report: text or json."`
	Version string   `help:"HAProxy version that the files are for, such as 2.8; conditional blocks test it."`
	Safe    string   `name:"safe-class" help:"Class of imported requests with GET, HEAD and OPTIONS; by default a request's path determines its class."`
	Other   string   `name:"other-class" help:"Class of all other imported requests; required with --safe-class."`
	Classes []string `help:"Names of the platform's classes: health checks must not request their paths."`
}

// Errors of an import that have their own exit statuses: 1, 2 and 3, in this order. Other commands
// return errUnreadable as well.
var (
	errPartialImport       = errors.New("not everything was carried over")
	errDangerousDirectives = errors.New("something dangerous was left out: decide by hand")
	errUnreadable          = errors.New("the files can't be read or parsed")
)

// readSources reads the files, and the *.cfg files of folders in order of their names. It reads one
// byte more than haproxy.Read accepts, so that Read reports a file that is too long.
func readSources(paths []string) (sources []haproxy.Source, err error) {
	for _, path := range paths {
		files := []string{path}
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*.cfg")); err != nil {
				return nil, err
			}
		}
		for _, name := range files {
			file, err := os.Open(name)
			if err != nil {
				return nil, err
			}
			text, err := io.ReadAll(io.LimitReader(file, haproxy.MaxFileBytes+1))
			file.Close()
			if err != nil {
				return nil, err
			}
			sources = append(sources, haproxy.Source{Name: name, Text: string(text)})
		}
	}
	return sources, nil
}

// knownDirective reports whether the importer has a verdict for a directive.
func knownDirective(_, name string) bool {
	for keyword := range translate.Keywords {
		if first, _, _ := strings.Cut(keyword, " "); first == name {
			return true
		}
	}
	switch name {
	case "acl", "server", "use_backend", "default_backend", "redirect", "http-request", "http-response", "no", "option", "timeout":
		return true
	}
	return false
}

// Run converts the files, writes features.toml and prints the verdicts. It returns errUnreadable if
// a file has a problem, and otherwise the error for the worst verdict.
func (c *importHaproxyCmd) Run(streams *stdStreams) error {
	if (c.Safe == "") != (c.Other == "") {
		return errors.New("--safe-class and --other-class go together")
	}
	files, err := readSources(c.Files)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	cfg := haproxy.Read(files, haproxy.Options{Env: os.LookupEnv, Version: c.Version, IsKnownDirective: knownDirective})
	translation := translate.Translate(cfg, translate.Options{Classes: c.Classes, SafeClass: c.Safe, OtherClass: c.Other})
	settings := struct {
		Version   int                 `toml:"version"`
		Listeners []features.Listener `toml:"listeners,omitempty"`
		Pools     []features.Pool     `toml:"pools,omitempty"`
		Routes    []features.Route    `toml:"routes,omitempty"`
	}{features.Version, translation.Listeners, translation.Pools, translation.Routes}
	text, err := toml.Marshal(settings)
	if err != nil {
		return err
	}
	if _, err := features.Parse("features.toml", text); err != nil {
		return fmt.Errorf("the converted settings are not valid: %w", err)
	}
	if c.Out != "" {
		if err := os.WriteFile(filepath.Join(c.Out, "features.toml"), text, 0o600); err != nil {
			return err
		}
	}
	counts := make(map[string]int)
	for _, entry := range translation.Entries {
		counts[entry.VerdictText]++
	}
	if c.Report == "json" {
		err = json.NewEncoder(streams.out).Encode(map[string]any{"directives": translation.Entries, "counts": counts, "problems": cfg.Problems, "pools": len(translation.Pools), "routes": len(translation.Routes)})
	} else {
		w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
		for _, entry := range translation.Entries {
			if entry.Verdict != translate.Carried {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", entry.Location, entry.VerdictText, entry.Directive, entry.Reason)
			}
		}
		w.Flush()
		for _, p := range cfg.Problems {
			fmt.Fprintln(streams.err, p)
		}
		_, err = fmt.Fprintf(streams.out, "%d directives: %d carried, %d with a difference, %d not carried, %d dangerous; %d pools, %d routes\n",
			len(translation.Entries), translation.Count(translate.Carried), translation.Count(translate.Different), translation.Count(translate.NotCarried), translation.Count(translate.Dangerous), len(translation.Pools), len(translation.Routes))
	}
	switch {
	case err != nil:
		return err
	case len(cfg.Problems) > 0:
		return errUnreadable
	case translation.Count(translate.Dangerous) > 0:
		return errDangerousDirectives
	case translation.Count(translate.NotCarried)+translation.Count(translate.Different) > 0:
		return errPartialImport
	}
	return nil
}
