// Package change compares a new configuration with the running one field by field, and
// reports which changes must not be made. It has no I/O and no clock.
//
// A configuration can be valid on its own and still be wrong as a successor of another:
// calls of a class could suddenly run twice, or a window could exceed what the servers
// promised. A start accepts any valid configuration; a change of a running one has to
// meet the rules of this package as well.
package change

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"chalkrack/internal/duration"
	"chalkrack/internal/features"
)

// Document is a configuration whose two parts have each been validated.
type Document struct {
	Platform []byte // the platform's JSON
	Features *features.File
}

// value is a field's value as text. Secrets are compared by their text but never shown.
type value struct {
	text   string
	secret bool
}

func (v value) String() string {
	if v.secret {
		return "(secret)"
	}
	return v.text
}

func (v value) number() float64 {
	n, _ := strconv.ParseFloat(v.text, 64)
	return n
}

// fields maps paths to values. A list entry is identified by its name if it has one, as in
// settings.classes[activate].effect, otherwise by its index.
type fields map[string]value

// ignoredKeys are the top-level keys that are not compared: the server list to start with
// (known), and what distinguishes one sidecar from another (seed, name).
var ignoredKeys = map[string]bool{"known": true, "seed": true, "name": true}

func flatten(d Document) (fields, error) {
	result := make(fields)
	var tree map[string]any
	if err := json.Unmarshal(d.Platform, &tree); err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	for key, v := range tree {
		if !ignoredKeys[key] {
			result.addJSON(key, v)
		}
	}
	if d.Features != nil {
		result.addTOML("features", reflect.ValueOf(*d.Features))
	}
	return result, nil
}

func (f fields) addJSON(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, v := range v {
			f.addJSON(path+"."+key, v)
		}
	case []any:
		for n, v := range v {
			label := strconv.Itoa(n)
			if entry, ok := v.(map[string]any); ok {
				if name, ok := entry["name"].(string); ok {
					label = name
				}
			}
			f.addJSON(path+"["+label+"]", v)
		}
	case float64:
		f[path] = value{text: strconv.FormatFloat(v, 'f', -1, 64)}
	case nil:
	default:
		f[path] = value{text: fmt.Sprint(v)}
	}
}

func (f fields) addTOML(path string, v reflect.Value) {
	switch x := v.Interface().(type) {
	case features.Secret:
		if x != "" {
			f[path] = value{text: string(x), secret: true}
		}
		return
	case duration.Duration:
		f[path] = value{text: strconv.FormatFloat(time.Duration(x).Seconds(), 'f', -1, 64)}
		return
	}
	switch v.Kind() {
	case reflect.Pointer: // an optional setting
		if !v.IsNil() {
			f.addTOML(path, v.Elem())
		}
	case reflect.Struct:
		for n := range v.NumField() {
			if name, _, _ := strings.Cut(v.Type().Field(n).Tag.Get("toml"), ","); name != "" {
				f.addTOML(path+"."+name, v.Field(n))
			}
		}
	case reflect.Slice:
		for n := range v.Len() {
			e := v.Index(n)
			label := strconv.Itoa(n)
			if e.Kind() == reflect.Struct {
				for _, key := range []string{"Name", "Range"} { // fields that identify an entry
					if name := e.FieldByName(key); name.IsValid() && name.Kind() == reflect.String && name.String() != "" {
						label = name.String()
						break
					}
				}
			}
			f.addTOML(path+"["+label+"]", e)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			f.addTOML(path+"["+key.String()+"]", v.MapIndex(key))
		}
	case reflect.String:
		if v.String() != "" {
			f[path] = value{text: v.String()}
		}
	default:
		f[path] = value{text: fmt.Sprint(v.Interface())}
	}
}

// Change is one field whose value differs.
type Change struct {
	Field    string
	Old, New string // empty if the field is absent
	Takes    string // what the change requires and costs
	Live     bool   // the change can be made while the daemon runs
}

// String returns the change as one line of text.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s (%s)", c.Field, cmp.Or(c.Old, "none"), cmp.Or(c.New, "none"), c.Takes)
}

// Refusal is a change that must not be made to a running configuration.
type Refusal struct {
	Field    string
	Old, New string
	Why      string
}

// Error implements error. It returns one line with the field, both values and the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s -> %s: %s", r.Field, cmp.Or(r.Old, "none"), cmp.Or(r.New, "none"), r.Why)
}

// Plan lists the changes between two configurations and those that are refused.
type Plan struct {
	Changes  []Change
	Refusals []*Refusal // empty if every change may be made
}

// Usage holds the resources in use by the running configuration. A zero value is not
// compared with the new limits.
type Usage struct {
	MemoryMB, Sockets, Held int
}

// Compare returns the changes from the running configuration to the next one, sorted by
// field, with all refusals. It returns an error if either is not valid JSON.
func Compare(running, next Document, use Usage) (*Plan, error) {
	oldFields, err := flatten(running)
	if err != nil {
		return nil, err
	}
	newFields, err := flatten(next)
	if err != nil {
		return nil, err
	}
	var paths []string
	for path := range oldFields {
		if oldFields[path] != newFields[path] {
			paths = append(paths, path)
		}
	}
	for path := range newFields {
		if _, ok := oldFields[path]; !ok {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	plan := new(Plan)
	for _, path := range paths {
		a, b := oldFields[path], newFields[path]
		takes, live := requirement(path)
		c := Change{path, a.String(), b.String(), takes, live}
		if a.secret && b.secret {
			c.New = "another secret"
		}
		plan.Changes = append(plan.Changes, c)
		for _, r := range rules {
			if !r.match(path) {
				continue
			}
			if why := r.check(&transition{path, a, b, oldFields, newFields, use}); why != "" {
				plan.Refusals = append(plan.Refusals, &Refusal{path, c.Old, c.New, why})
			}
		}
	}
	return plan, nil
}

// NeedingRestart returns the changes that can't be made while the daemon runs.
func (p *Plan) NeedingRestart() (changes []Change) {
	for _, c := range p.Changes {
		if !c.Live {
			changes = append(changes, c)
		}
	}
	return changes
}

// restartSettings are settings that parts of the daemon are constructed with: the zone by
// which servers are ordered, and whether it queries discovery or receives updates.
var restartSettings = map[string]bool{"settings.zone": true, "settings.registryMode": true}

// requirement returns what a change of a field needs and costs, and whether it can be made
// while the daemon runs.
func requirement(path string) (needs string, live bool) {
	const otherwise = " where [config] is on, else the next start"
	switch {
	case path == "discovery":
		return "SIGHUP: one connection to discovery", true
	case path == "listen":
		return "a switch, with a listener beside the old one until it is kept," + otherwise, true
	case path == "settings.caps.connIdleUs":
		return "a switch that closes connections idle for longer," + otherwise, true
	case strings.HasPrefix(path, "settings.") && !restartSettings[path], strings.HasPrefix(path, "features.paths["), strings.HasPrefix(path, "features.answers."):
		return "a switch" + otherwise, true
	}
	return "the next start", false
}

// Hash returns the SHA-256 hash, in hexadecimal, of all compared fields of a document except
// the address of discovery. It does not depend on formatting or the order of fields.
func Hash(d Document) (string, error) {
	all, err := flatten(d)
	if err != nil {
		return "", err
	}
	delete(all, "discovery")
	h := sha256.New()
	for _, path := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(h, "%q=%q\n", path, all[path].text)
	}
	return hex.EncodeToString(h.Sum(nil)), nil
}

// bracketed returns the part of a path in brackets after a prefix, and the rest behind the
// brackets. ok is false if the path has another form.
func bracketed(path, prefix string) (name, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, prefix+"[")
	if !ok {
		return "", "", false
	}
	end := strings.LastIndexByte(tail, ']')
	if end < 0 {
		return "", "", false
	}
	return tail[:end], tail[end+1:], true
}
