// Package schedules ships the schedules of the cases that a fleet has to bear.
package schedules

import (
	"embed"
	"fmt"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names are the shipped schedules, sorted.
func Names() (all []string) {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err) // of what was built in
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return all
}

// Text is a shipped schedule.
func Text(name string) ([]byte, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return nil, fmt.Errorf("schedules: there is no %q", name)
	}
	return text, nil
}
