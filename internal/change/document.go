// Package change compares a configuration with the one that runs: what would change,
// field by field, and what of it must not. It has no I/O and no clock.
//
// A configuration can be good alone and wrong after another: a class that may suddenly
// run twice, a window wider than servers promised. A start takes any good configuration;
// a change of what runs is held to more.
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

// Document is a configuration whose parts have each been checked alone.
type Document struct {
	Platform []byte // the platform's JSON
	Features *features.File
}

// value is a field's value. Those of secrets compare by what they are and show nothing.
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

// fields are values by path. An entry of a list that has a name stands under it:
// settings.classes[activate].effect.
type fields map[string]value

// apart are what a change does not concern: the list that a start begins with, and
// what only tells one copy from another.
var apart = map[string]bool{"known": true, "seed": true, "name": true}

func flatten(d Document) (fields, error) {
	all := make(fields)
	var tree map[string]any
	if err := json.Unmarshal(d.Platform, &tree); err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	for key, v := range tree {
		if !apart[key] {
			all.json(key, v)
		}
	}
	if d.Features != nil {
		all.toml("features", reflect.ValueOf(*d.Features))
	}
	return all, nil
}

func (f fields) json(path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		for key, v := range v {
			f.json(path+"."+key, v)
		}
	case []any:
		for n, v := range v {
			at := strconv.Itoa(n)
			if entry, ok := v.(map[string]any); ok {
				if name, ok := entry["name"].(string); ok {
					at = name
				}
			}
			f.json(path+"["+at+"]", v)
		}
	case float64:
		f[path] = value{text: strconv.FormatFloat(v, 'f', -1, 64)}
	case nil:
	default:
		f[path] = value{text: fmt.Sprint(v)}
	}
}

func (f fields) toml(path string, v reflect.Value) {
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
	case reflect.Pointer: // a setting that may be left out
		if !v.IsNil() {
			f.toml(path, v.Elem())
		}
	case reflect.Struct:
		for n := range v.NumField() {
			if name, _, _ := strings.Cut(v.Type().Field(n).Tag.Get("toml"), ","); name != "" {
				f.toml(path+"."+name, v.Field(n))
			}
		}
	case reflect.Slice:
		for n := range v.Len() {
			e := v.Index(n)
			at := strconv.Itoa(n)
			if e.Kind() == reflect.Struct {
				for _, key := range []string{"Name", "Range"} { // what tells entries apart
					if name := e.FieldByName(key); name.IsValid() && name.Kind() == reflect.String && name.String() != "" {
						at = name.String()
						break
					}
				}
			}
			f.toml(path+"["+at+"]", e)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			f.toml(path+"["+key.String()+"]", v.MapIndex(key))
		}
	case reflect.String:
		if v.String() != "" {
			f[path] = value{text: v.String()}
		}
	default:
		f[path] = value{text: fmt.Sprint(v.Interface())}
	}
}

// Change is one field that differs.
type Change struct {
	Field    string
	Old, New string // empty: it is not there
	Takes    string // what it needs or costs
	Live     bool   // it can be made while the daemon runs
}

// String is the change as a line.
func (c Change) String() string {
	return fmt.Sprintf("%s: %s -> %s (%s)", c.Field, cmp.Or(c.Old, "none"), cmp.Or(c.New, "none"), c.Takes)
}

// Refusal is a change that must not be made while it runs.
type Refusal struct {
	Field    string
	Old, New string
	Why      string
}

// Error implements error: a line with the field and both values.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s -> %s: %s", r.Field, cmp.Or(r.Old, "none"), cmp.Or(r.New, "none"), r.Why)
}

// Plan is what a change would do.
type Plan struct {
	Changes  []Change
	Refusals []*Refusal // all of them; none: it may be made
}

// Use is what runs needs now. Zero values are not looked at.
type Use struct {
	MemoryMB, Sockets, Held int
}

// Compare plans the way from what runs to another configuration. An error says that one
// of them is no configuration at all.
func Compare(running, next Document, use Use) (*Plan, error) {
	old, err := flatten(running)
	if err != nil {
		return nil, err
	}
	now, err := flatten(next)
	if err != nil {
		return nil, err
	}
	var paths []string
	for path := range old {
		if old[path] != now[path] {
			paths = append(paths, path)
		}
	}
	for path := range now {
		if _, ok := old[path]; !ok {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	p := new(Plan)
	for _, path := range paths {
		a, b := old[path], now[path]
		takes, live := takes(path)
		c := Change{path, a.String(), b.String(), takes, live}
		if a.secret && b.secret {
			c.New = "another secret"
		}
		p.Changes = append(p.Changes, c)
		for _, r := range rules {
			if !r.match(path) {
				continue
			}
			if why := r.wrong(&way{path, a, b, old, now, use}); why != "" {
				p.Refusals = append(p.Refusals, &Refusal{path, c.Old, c.New, why})
			}
		}
	}
	return p, nil
}

// Waiting are the changes that can't be made while the daemon runs.
func (p *Plan) Waiting() (all []Change) {
	for _, c := range p.Changes {
		if !c.Live {
			all = append(all, c)
		}
	}
	return all
}

// onlyStart are settings that the parts of a daemon are made of: the zone by which it
// ordered its servers, and whether it asks discovery or is told.
var onlyStart = map[string]bool{"settings.zone": true, "settings.registryMode": true}

// takes says what a change of a field needs and costs, and whether it can be made while
// the daemon runs.
func takes(path string) (needs string, live bool) {
	const otherwise = " where [config] is on, else the next start"
	switch {
	case path == "discovery":
		return "SIGHUP: one connection to discovery", true
	case path == "listen":
		return "a switch, with a listener beside the old one until it is kept," + otherwise, true
	case path == "settings.caps.connIdleUs":
		return "a switch that closes connections idle for longer," + otherwise, true
	case strings.HasPrefix(path, "settings.") && !onlyStart[path], strings.HasPrefix(path, "features.paths["), strings.HasPrefix(path, "features.answers."):
		return "a switch" + otherwise, true
	}
	return "the next start", false
}

// Sum names what a document says, whatever its form; what a change does not concern, and
// where discovery is, are left out.
func Sum(d Document) (string, error) {
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

// between cuts the part of a path in brackets after a prefix.
func between(path, prefix string) (name, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, prefix+"[")
	if !ok {
		return "", "", false
	}
	at := strings.LastIndexByte(tail, ']')
	if at < 0 {
		return "", "", false
	}
	return tail[:at], tail[at+1:], true
}
