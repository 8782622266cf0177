// Package schedules embeds the schedules of faults that a fleet must withstand.
package schedules

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names returns the names of the embedded schedules, sorted.
func Names() (all []string) {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err) // cannot happen: the files are embedded
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return all
}

// Text returns an embedded schedule as TOML. Its first line is a comment that describes it. A name
// that Names does not return is an error.
func Text(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("schedules: there is no schedule %q", name)
	}
	return text, nil
}
