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
	Haproxy haproxyCmd `cmd:"" name:"haproxy" help:"Read HAProxy's configuration and make routes and pools of it, with a verdict on each directive."`
}

type haproxyCmd struct {
	Files   []string `arg:"" name:"file" help:"Files, or folders whose *.cfg files are taken in their order."`
	Out     string   `placeholder:"DIR" help:"Write features.toml there; without it nothing is written."`
	Report  string   `enum:"text,json" default:"text" help:"text or json."`
	Version string   `help:"Of the HAProxy that the files are for, as 2.8; conditional blocks ask for it."`
	Safe    string   `name:"safe-class" help:"The class of imported requests by GET, HEAD and OPTIONS; without it their paths name it."`
	Other   string   `name:"other-class" help:"That of all others, which --safe-class needs."`
	Classes []string `help:"The platform's classes, by name: checks must not ask for their paths."`
}

// What an import found, by its exit status.
var (
	errLosses     = errors.New("not everything was carried over")
	errDangers    = errors.New("something dangerous was left out: decide by hand")
	errUnreadable = errors.New("the files can't be read as they stand")
)

// sources reads files, and the *.cfg of folders.
func sources(paths []string) (all []haproxy.Source, err error) {
	for _, p := range paths {
		files := []string{p}
		if info, err := os.Stat(p); err == nil && info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(p, "*.cfg")); err != nil {
				return nil, err
			}
		}
		for _, f := range files {
			r, err := os.Open(f)
			if err != nil {
				return nil, err
			}
			text, err := io.ReadAll(io.LimitReader(r, haproxy.TextMost+1))
			r.Close()
			if err != nil {
				return nil, err
			}
			all = append(all, haproxy.Source{Name: f, Text: string(text)})
		}
	}
	return all, nil
}

// known says whether a directive is one that the importer has a verdict for.
func knownDirective(_, name string) bool {
	for k := range translate.Keywords {
		if first, _, _ := strings.Cut(k, " "); first == name {
			return true
		}
	}
	switch name {
	case "acl", "server", "use_backend", "default_backend", "redirect", "http-request", "http-response", "no", "option", "timeout":
		return true
	}
	return false
}

// Run imports.
func (c *haproxyCmd) Run(s *streams) error {
	if (c.Safe == "") != (c.Other == "") {
		return errors.New("--safe-class and --other-class go together")
	}
	files, err := sources(c.Files)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnreadable, err)
	}
	cfg := haproxy.Read(files, haproxy.Options{Env: os.LookupEnv, Version: c.Version, Directive: knownDirective})
	r := translate.Translate(cfg, translate.Options{Classes: c.Classes, SafeClass: c.Safe, OtherClass: c.Other})
	own := struct {
		Version   int                 `toml:"version"`
		Listeners []features.Listener `toml:"listeners,omitempty"`
		Pools     []features.Pool     `toml:"pools,omitempty"`
		Routes    []features.Route    `toml:"routes,omitempty"`
	}{features.Version, r.Listeners, r.Pools, r.Routes}
	text, err := toml.Marshal(own)
	if err != nil {
		return err
	}
	if _, err := features.Parse("features.toml", text); err != nil {
		return fmt.Errorf("what was made is no good: %w", err)
	}
	if c.Out != "" {
		if err := os.WriteFile(filepath.Join(c.Out, "features.toml"), text, 0o600); err != nil {
			return err
		}
	}
	counts := make(map[string]int)
	for _, e := range r.Entries {
		counts[e.Word]++
	}
	if c.Report == "json" {
		err = json.NewEncoder(s.out).Encode(map[string]any{"directives": r.Entries, "counts": counts, "problems": cfg.Problems, "pools": len(r.Pools), "routes": len(r.Routes)})
	} else {
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		for _, e := range r.Entries {
			if e.Verdict != translate.Carried {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.At, e.Word, e.Text, e.Why)
			}
		}
		w.Flush()
		for _, p := range cfg.Problems {
			fmt.Fprintln(s.err, p)
		}
		_, err = fmt.Fprintf(s.out, "%d directives: %d carried, %d with a difference, %d not carried, %d dangerous; %d pools, %d routes\n",
			len(r.Entries), r.Count(translate.Carried), r.Count(translate.Different), r.Count(translate.Lost), r.Count(translate.Danger), len(r.Pools), len(r.Routes))
	}
	switch {
	case err != nil:
		return err
	case len(cfg.Problems) > 0:
		return errUnreadable
	case r.Count(translate.Danger) > 0:
		return errDangers
	case r.Count(translate.Lost)+r.Count(translate.Different) > 0:
		return errLosses
	}
	return nil
}
