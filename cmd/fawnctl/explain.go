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
	Logs    []string `arg:"" name:"log" help:"Log files with traces, or folders of them."`
	Against []string `placeholder:"LOG" help:"Other logs to compare with."`
	Class   string   `help:"Show only this class."`
	Top     int      `default:"15" help:"How many causes to show."`
	JSON    bool     `help:"Print the groups as JSON, with an example of each."`
}

// readTraces reads the log files, and all files in the folders, into one log.
func readTraces(paths []string) (*calltrace.Log, error) {
	traces := new(calltrace.Log)
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
			err = traces.Read(f)
			f.Close()
			if err != nil {
				return nil, fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return traces, nil
}

// Run groups the traces by cause and prints the groups. With --against it prints the two logs'
// causes side by side.
func (c *explainCmd) Run(streams *stdStreams) error {
	traces, err := readTraces(c.Logs)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(streams.out, 0, 0, 2, ' ', 0)
	if len(c.Against) > 0 {
		other, err := readTraces(c.Against)
		if err != nil {
			return err
		}
		rows := calltrace.Compare(traces, other, c.Class)
		if c.JSON {
			return json.NewEncoder(streams.out).Encode(rows)
		}
		fmt.Fprintln(w, "worth\tcalls\tworth, other\tcalls, other\tcause")
		for _, r := range rows[:min(len(rows), c.Top)] {
			fmt.Fprintf(w, "%.0f\t%d\t%.0f\t%d\t%s\n", r.WorthA, r.A, r.WorthB, r.B, r.Cause)
		}
		return w.Flush()
	}
	groups := traces.Groups(c.Class)
	if c.JSON {
		return json.NewEncoder(streams.out).Encode(groups)
	}
	fmt.Fprintf(streams.out, "%d calls not served within their aim (%d other lines)\n", len(traces.Traces), traces.OtherLines)
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
