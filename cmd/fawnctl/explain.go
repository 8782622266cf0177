package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"chalkrack/internal/calltrace"
)

type explainCmd struct {
	Logs    []string `arg:"" name:"log" help:"Logs with traces, or folders of them."`
	Against []string `placeholder:"LOG" help:"Other logs, to show beside the first."`
	Class   string   `help:"Only this class."`
	Top     int      `default:"15" help:"How many causes."`
	JSON    bool     `help:"Print groups with an example of each, as JSON."`
}

// read reads logs, and all files of folders.
func readTraces(paths []string) (*calltrace.Log, error) {
	l := new(calltrace.Log)
	for _, path := range paths {
		files := []string{path}
		if info, err := os.Stat(path); err == nil && info.IsDir() {
			if files, err = filepath.Glob(filepath.Join(path, "*")); err != nil {
				return nil, err
			}
		}
		for _, name := range files {
			if info, err := os.Stat(name); err == nil && info.IsDir() {
				continue
			}
			f, err := os.Open(name)
			if err != nil {
				return nil, err
			}
			err = l.Read(f)
			f.Close()
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return l, nil
}

// Run groups the traces of logs by cause.
func (c *explainCmd) Run(s *streams) error {
	l, err := readTraces(c.Logs)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	if len(c.Against) > 0 {
		other, err := readTraces(c.Against)
		if err != nil {
			return err
		}
		rows := calltrace.Compare(l, other, c.Class)
		if c.JSON {
			return json.NewEncoder(s.out).Encode(rows)
		}
		fmt.Fprintln(w, "worth\tcalls\tworth, other\tcalls, other\tcause")
		for _, r := range rows[:min(len(rows), c.Top)] {
			fmt.Fprintf(w, "%.0f\t%d\t%.0f\t%d\t%s\n", r.WorthA, r.A, r.WorthB, r.B, r.Cause)
		}
		return w.Flush()
	}
	groups := l.Groups(c.Class)
	if c.JSON {
		return json.NewEncoder(s.out).Encode(groups)
	}
	fmt.Fprintf(s.out, "%d calls not served within their aim (%d other lines)\n", len(l.Traces), l.OtherLines)
	fmt.Fprintln(w, "share\tworth\tcalls\tcause\tclasses")
	for _, g := range groups[:min(len(groups), c.Top)] {
		classes := ""
		for _, name := range slices.Sorted(maps.Keys(g.Classes)) {
			classes += fmt.Sprintf("%s %d  ", name, g.Classes[name])
		}
		fmt.Fprintf(w, "%.3f\t%.0f\t%d\t%s\t%s\n", g.Share, g.Worth, g.Calls, g.Cause, classes)
	}
	return w.Flush()
}
