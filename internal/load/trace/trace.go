// Package trace reads recorded traffic, of several forms, into one: JSON lines in the
// order of their times, with what a replay needs and no more. What could not be taken
// over is counted by its reason.
package trace

import (
	"bufio"
	"cmp"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Bounds of a trace.
const (
	LineMost    = 64 << 10
	EntriesMost = 5_000_000 // they are sorted in memory
	bodyMost    = 1 << 30
	nameMost    = 1 << 10
)

// Entry is one call of a trace.
type Entry struct {
	At    time.Duration `json:"at_ns"` // since the first
	Class string        `json:"class"`
	Path  string        `json:"path,omitempty"`
	Key   string        `json:"key,omitempty"`
	Body  int64         `json:"body,omitempty"` // bytes
}

// Note is what became of the lines of a recording.
type Note struct {
	Lines   int64            `json:"lines"`
	Taken   int64            `json:"taken"`
	LeftOut map[string]int64 `json:"left_out"` // by reason
	First   time.Time        `json:"first"`
	Span    time.Duration    `json:"span_ns"`
}

// Options say how a recording is read.
type Options struct {
	Form string // json, csv, haproxy or combined
	// Columns names the columns of a CSV file, or the fields of JSON lines, that hold
	// at, class, path, key and body: 'at=ts,class=kind'.
	Columns map[string]string
	// Prefixes has the class of paths that begin so; the longest counts. Without any
	// the class is the first part of the path.
	Prefixes map[string]string
}

type record struct {
	at                       time.Time
	method, path, class, key string
	body                     int64
}

var errNoTime = errors.New("no time that can be read")

// Import reads a recording and writes a trace. An error says that it can't be read or
// written at all; single lines are left out and counted.
func Import(in io.Reader, out io.Writer, opt Options) (*Note, error) {
	n := &Note{LeftOut: make(map[string]int64)}
	type timed struct {
		at time.Time
		e  Entry
	}
	var all []timed
	take := func(r record, err error) error {
		n.Lines++
		if err == nil {
			err = opt.classify(&r)
		}
		if err != nil {
			n.LeftOut[err.Error()]++
			return nil
		}
		if len(all) >= EntriesMost {
			return fmt.Errorf("trace: over %d calls: cut the recording", EntriesMost)
		}
		all = append(all, timed{r.at, Entry{Class: r.class, Path: r.path, Key: r.key, Body: r.body}})
		return nil
	}
	var err error
	switch opt.Form {
	case "json":
		err = eachLine(in, func(line []byte) error { return take(opt.json(line)) })
	case "haproxy":
		err = eachLine(in, func(line []byte) error { return take(haproxy(string(line))) })
	case "combined":
		err = eachLine(in, func(line []byte) error { return take(combined(string(line))) })
	case "csv":
		err = opt.csv(in, take)
	default:
		return nil, fmt.Errorf("trace: form %q is none of json, csv, haproxy and combined", opt.Form)
	}
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(all, func(a, b timed) int { return a.at.Compare(b.at) })
	w := bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	for _, t := range all {
		if n.Taken == 0 {
			n.First = t.at
		}
		n.Taken++
		t.e.At = t.at.Sub(n.First)
		n.Span = t.e.At
		if err := enc.Encode(t.e); err != nil {
			return nil, err
		}
	}
	return n, w.Flush()
}

// eachLine calls do with each line that is not empty; one that is too long is passed on
// cut, and does not parse.
func eachLine(in io.Reader, do func([]byte) error) error {
	r := bufio.NewReaderSize(in, LineMost)
	for {
		line, err := r.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			line = line[:0]
			_, err = r.ReadSlice('\n')
			if err == nil || err == io.EOF {
				if derr := do(nil); derr != nil {
					return derr
				}
			}
		}
		if line = []byte(strings.TrimSpace(string(line))); len(line) > 0 {
			if derr := do(line); derr != nil {
				return derr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (o *Options) column(field string) string { return cmp.Or(o.Columns[field], field) }

// classify says of what class a record is, and whether it can be replayed.
func (o *Options) classify(r *record) error {
	if r.path != "" {
		path, _, _ := strings.Cut(r.path, "?")
		if !strings.HasPrefix(r.path, "/") || strings.ContainsFunc(r.path, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
			return errors.New("a path that is none")
		}
		best := ""
		for prefix := range o.Prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) >= len(best) {
				best = prefix
			}
		}
		switch {
		case r.class != "":
		case best != "":
			r.class = o.Prefixes[best]
		case len(o.Prefixes) > 0:
			return errors.New("a path of no class")
		default:
			r.class, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
		}
	}
	switch {
	case r.at.IsZero():
		return errNoTime
	case r.class == "":
		return errors.New("no class")
	case len(r.path) > nameMost || len(r.class) > nameMost || len(r.key) > nameMost:
		return errors.New("a name that is too long")
	case strings.ContainsFunc(r.key+r.class, func(c rune) bool { return c <= ' ' || c >= 0x7f }):
		return errors.New("a class or key with odd characters")
	case r.body < 0 || r.body > bodyMost:
		return errors.New("a body of an impossible length")
	}
	return nil
}

// when reads a time: RFC 3339, or seconds, milliseconds, micro- or nanoseconds since
// 1970, told apart by their size.
func when(text string) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return t, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < 9e18) {
		return time.Time{}, errNoTime
	}
	for unit := float64(time.Second); unit >= 1; unit /= 1000 {
		if v*unit < 4e18 { // before the year 2096
			if whole, err := strconv.ParseInt(text, 10, 64); err == nil {
				return time.Unix(0, whole*int64(unit)), nil
			}
			return time.Unix(0, int64(v*unit)), nil
		}
	}
	return time.Time{}, errNoTime
}

func (o *Options) json(line []byte) (r record, err error) {
	var m map[string]any
	if err := json.Unmarshal(line, &m); err != nil {
		return r, errors.New("no JSON")
	}
	text := func(field string) string {
		switch v := m[o.column(field)].(type) {
		case string:
			return v
		case float64:
			return strconv.FormatFloat(v, 'f', -1, 64)
		}
		return ""
	}
	return fields(text)
}

// fields reads a record whose fields are texts.
func fields(text func(field string) string) (r record, err error) {
	if r.at, err = when(text("at")); err != nil {
		return r, err
	}
	r.class, r.path, r.key = text("class"), text("path"), text("key")
	if b := text("body"); b != "" {
		if r.body, err = strconv.ParseInt(b, 10, 64); err != nil {
			return r, errors.New("a body of an impossible length")
		}
	}
	return r, nil
}

func (o *Options) csv(in io.Reader, take func(record, error) error) error {
	c := csv.NewReader(in)
	c.FieldsPerRecord, c.ReuseRecord = -1, true
	head, err := c.Read()
	if err != nil {
		return fmt.Errorf("trace: first line: %w", err)
	}
	at := make(map[string]int)
	for n, name := range head {
		at[strings.TrimSpace(name)] = n
	}
	for field, column := range o.Columns {
		if _, ok := at[column]; !ok {
			return fmt.Errorf("trace: there is no column %q for %s", column, field)
		}
	}
	for {
		row, err := c.Read()
		if err == io.EOF {
			return nil
		}
		var bad *csv.ParseError
		if errors.As(err, &bad) {
			if err := take(record{}, errors.New("no CSV")); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		r, err := fields(func(field string) string {
			if n, ok := at[o.column(field)]; ok && n < len(row) {
				return strings.Clone(row[n])
			}
			return ""
		})
		if err := take(r, err); err != nil {
			return err
		}
	}
}

// request reads the quoted request of an access log.
func request(text string) (method, path string, err error) {
	words := strings.Fields(text)
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/") {
		return "", "", errors.New("no request that can be read")
	}
	return words[0], words[1], nil
}

// combined reads a line of the combined log format of Apache's mod_log_config (the
// common one too): host ident user [time] "request" status bytes ...
func combined(line string) (r record, err error) {
	_, rest, ok := strings.Cut(line, "[")
	date, rest, ok2 := strings.Cut(rest, "]")
	if !ok || !ok2 {
		return r, errNoTime
	}
	if r.at, err = time.Parse("02/Jan/2006:15:04:05 -0700", date); err != nil {
		return r, errNoTime
	}
	_, rest, _ = strings.Cut(rest, "\"")
	text, _, ok := strings.Cut(rest, "\"")
	if !ok {
		return r, errors.New("no request that can be read")
	}
	r.method, r.path, err = request(text)
	return r, err
}

// haproxy reads a line of HAProxy's HTTP log format (configuration manual, section
// 8.2.3): ... client [accept date] frontend backend/server timers status bytes ...
// "request". The date has milliseconds and no zone: UTC is taken.
func haproxy(line string) (r record, err error) {
	at := strings.Index(line, "] ")
	from := strings.LastIndexByte(line[:max(at, 0)], '[')
	if at < 0 || from < 0 {
		return r, errNoTime
	}
	if r.at, err = time.Parse("02/Jan/2006:15:04:05.000", line[from+1:at]); err != nil {
		return r, errNoTime
	}
	first, last := strings.IndexByte(line[at:], '"'), strings.LastIndexByte(line, '"')
	if first < 0 || at+first >= last {
		return r, errors.New("no request that can be read")
	}
	text := line[at+first+1 : last]
	if strings.HasPrefix(text, "<") { // <BADREQ>
		return r, errors.New("no request that can be read")
	}
	r.method, r.path, err = request(text)
	return r, err
}

// Reader reads a trace that Import wrote.
type Reader struct {
	s    *bufio.Scanner
	line int
	last time.Duration
}

// NewReader returns a Reader.
func NewReader(in io.Reader) (*Reader, error) {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 4096), LineMost)
	return &Reader{s: s}, nil
}

// Next is the next call; io.EOF at the end.
func (r *Reader) Next() (e Entry, err error) {
	if !r.s.Scan() {
		if err := r.s.Err(); err != nil {
			return e, fmt.Errorf("trace: line %d: %w", r.line+1, err)
		}
		return e, io.EOF
	}
	r.line++
	if err := json.Unmarshal(r.s.Bytes(), &e); err != nil {
		return e, fmt.Errorf("trace: line %d: %w", r.line, err)
	}
	if e.At < r.last || e.Body < 0 || e.Body > bodyMost {
		return e, fmt.Errorf("trace: line %d: out of order, or of an impossible length", r.line)
	}
	r.last = e.At
	return e, nil
}
