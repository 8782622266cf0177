// Package trace converts recorded traffic from several formats to one: JSON lines in order of time,
// with only the fields that a replay needs. Lines that cannot be converted are counted by reason.
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
	MaxLineBytes = 64 << 10  // of an input line or a trace line
	MaxEntries   = 5_000_000 // entries are sorted in memory
	maxBodyBytes = 1 << 30
	maxNameBytes = 1 << 10 // of a path, class or key
)

// Entry is one call of a trace.
type Entry struct {
	At        time.Duration `json:"at_ns"` // time since the first call
	Class     string        `json:"class"`
	Path      string        `json:"path,omitempty"`
	Key       string        `json:"key,omitempty"`
	BodyBytes int64         `json:"body,omitempty"`
}

// ImportSummary says how many lines of a recording were imported, and why others were not.
type ImportSummary struct {
	Lines   int64            `json:"lines"`    // lines read, without empty ones
	Taken   int64            `json:"taken"`    // lines imported
	LeftOut map[string]int64 `json:"left_out"` // lines not imported, by reason
	First   time.Time        `json:"first"`    // time of the first call
	Span    time.Duration    `json:"span_ns"`  // time from the first to the last call
}

// Options says how a recording is read.
type Options struct {
	Format string // json, csv, haproxy or combined
	// Columns maps the names at, class, path, key and body to the columns of a CSV file, or the
	// fields of JSON lines, that hold their values, as in 'at=ts,class=kind'. The default is a
	// column of the same name.
	Columns map[string]string
	// Prefixes maps path prefixes to classes; the longest matching prefix applies. Without any, the
	// class is the first segment of the path.
	Prefixes map[string]string
}

// record is one line of a recording.
type record struct {
	at                       time.Time
	method, path, class, key string
	bodyBytes                int64
}

// errNoTime is the reason for lines without a time or with one in an unknown format.
var errNoTime = errors.New("no time that can be read")

// Import reads a recording and writes a trace. It returns an error if the input cannot be read, the
// output cannot be written, or there are more than MaxEntries calls. Single lines that cannot be
// converted are skipped and counted.
func Import(in io.Reader, out io.Writer, options Options) (*ImportSummary, error) {
	summary := &ImportSummary{LeftOut: make(map[string]int64)}
	type timedEntry struct {
		at    time.Time
		entry Entry
	}
	var entries []timedEntry
	addRecord := func(r record, err error) error {
		summary.Lines++
		if err == nil {
			err = options.classify(&r)
		}
		if err != nil {
			summary.LeftOut[err.Error()]++
			return nil
		}
		if len(entries) >= MaxEntries {
			return fmt.Errorf("trace: the recording has more than %d calls: split it", MaxEntries)
		}
		entries = append(entries, timedEntry{r.at, Entry{Class: r.class, Path: r.path, Key: r.key, BodyBytes: r.bodyBytes}})
		return nil
	}
	var err error
	switch options.Format {
	case "json":
		err = eachLine(in, func(line []byte) error { return addRecord(options.parseJSON(line)) })
	case "haproxy":
		err = eachLine(in, func(line []byte) error { return addRecord(parseHAProxy(string(line))) })
	case "combined":
		err = eachLine(in, func(line []byte) error { return addRecord(parseCombined(string(line))) })
	case "csv":
		err = options.readCSV(in, addRecord)
	default:
		return nil, fmt.Errorf("trace: unknown format %q: expected json, csv, haproxy or combined", options.Format)
	}
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(entries, func(a, b timedEntry) int { return a.at.Compare(b.at) })
	writer := bufio.NewWriter(out)
	encoder := json.NewEncoder(writer)
	for _, t := range entries {
		if summary.Taken == 0 {
			summary.First = t.at
		}
		summary.Taken++
		t.entry.At = t.at.Sub(summary.First)
		summary.Span = t.entry.At
		if err := encoder.Encode(t.entry); err != nil {
			return nil, err
		}
	}
	return summary, writer.Flush()
}

// eachLine calls handleLine with each line that is not empty. For a line that is longer than
// MaxLineBytes it calls handleLine with nil, which does not parse. It stops at the first error.
func eachLine(in io.Reader, handleLine func([]byte) error) error {
	reader := bufio.NewReaderSize(in, MaxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) {
			line = line[:0]
			_, err = reader.ReadSlice('\n')
			if err == nil || err == io.EOF {
				if handleErr := handleLine(nil); handleErr != nil {
					return handleErr
				}
			}
		}
		if line = []byte(strings.TrimSpace(string(line))); len(line) > 0 {
			if handleErr := handleLine(line); handleErr != nil {
				return handleErr
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

// column returns the name of the column that holds a field.
func (o *Options) column(field string) string { return cmp.Or(o.Columns[field], field) }

// classify sets the class of a record. It returns an error if the record cannot be replayed.
func (o *Options) classify(r *record) error {
	if r.path != "" {
		path, _, _ := strings.Cut(r.path, "?")
		if !strings.HasPrefix(r.path, "/") || strings.ContainsFunc(r.path, func(c rune) bool { return c <= ' ' || c >= 0x7f }) {
			return errors.New("a path that is none")
		}
		longestPrefix := ""
		for prefix := range o.Prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) >= len(longestPrefix) {
				longestPrefix = prefix
			}
		}
		switch {
		case r.class != "":
		case longestPrefix != "":
			r.class = o.Prefixes[longestPrefix]
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
	case len(r.path) > maxNameBytes || len(r.class) > maxNameBytes || len(r.key) > maxNameBytes:
		return errors.New("a name that is too long")
	case strings.ContainsFunc(r.key+r.class, func(c rune) bool { return c <= ' ' || c >= 0x7f }):
		return errors.New("a class or key with odd characters")
	case r.bodyBytes < 0 || r.bodyBytes > maxBodyBytes:
		return errors.New("a body of an impossible length")
	}
	return nil
}

// parseTime parses a time in RFC 3339, or a number of seconds, milliseconds, microseconds or
// nanoseconds since 1970. The unit is inferred from the magnitude.
func parseTime(text string) (time.Time, error) {
	if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
		return t, nil
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0 && value < 9e18) {
		return time.Time{}, errNoTime
	}
	for unit := float64(time.Second); unit >= 1; unit /= 1000 {
		if value*unit < 4e18 { // the first unit that gives a time before the year 2096
			if whole, err := strconv.ParseInt(text, 10, 64); err == nil {
				return time.Unix(0, whole*int64(unit)), nil
			}
			return time.Unix(0, int64(value*unit)), nil
		}
	}
	return time.Time{}, errNoTime
}

// parseJSON parses a JSON line.
func (o *Options) parseJSON(line []byte) (r record, err error) {
	var values map[string]any
	if err := json.Unmarshal(line, &values); err != nil {
		return r, errors.New("no JSON")
	}
	fieldText := func(field string) string {
		switch v := values[o.column(field)].(type) {
		case string:
			return v
		case float64:
			return strconv.FormatFloat(v, 'f', -1, 64)
		}
		return ""
	}
	return parseFields(fieldText)
}

// parseFields makes a record from the texts that fieldText returns for its fields.
func parseFields(fieldText func(field string) string) (r record, err error) {
	if r.at, err = parseTime(fieldText("at")); err != nil {
		return r, err
	}
	r.class, r.path, r.key = fieldText("class"), fieldText("path"), fieldText("key")
	if body := fieldText("body"); body != "" {
		if r.bodyBytes, err = strconv.ParseInt(body, 10, 64); err != nil {
			return r, errors.New("a body of an impossible length")
		}
	}
	return r, nil
}

// readCSV calls addRecord with each row of a CSV file, whose first row holds the column names.
func (o *Options) readCSV(in io.Reader, addRecord func(record, error) error) error {
	reader := csv.NewReader(in)
	reader.FieldsPerRecord, reader.ReuseRecord = -1, true
	header, err := reader.Read()
	if err != nil {
		return fmt.Errorf("trace: header line of the CSV file: %w", err)
	}
	columnIndex := make(map[string]int)
	for n, name := range header {
		columnIndex[strings.TrimSpace(name)] = n
	}
	for field, column := range o.Columns {
		if _, ok := columnIndex[column]; !ok {
			return fmt.Errorf("trace: the CSV file has no column %q for %s", column, field)
		}
	}
	for {
		row, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		var parseErr *csv.ParseError
		if errors.As(err, &parseErr) {
			if err := addRecord(record{}, errors.New("no CSV")); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return err
		}
		r, err := parseFields(func(field string) string {
			if n, ok := columnIndex[o.column(field)]; ok && n < len(row) {
				return strings.Clone(row[n])
			}
			return ""
		})
		if err := addRecord(r, err); err != nil {
			return err
		}
	}
}

// parseRequest parses the quoted request line of an access log.
func parseRequest(requestLine string) (method, path string, err error) {
	words := strings.Fields(requestLine)
	if len(words) != 3 || !strings.HasPrefix(words[2], "HTTP/") {
		return "", "", errors.New("no request that can be read")
	}
	return words[0], words[1], nil
}

// parseCombined parses a line in the combined or common log format of Apache's mod_log_config:
// host ident user [time] "request" status bytes ...
func parseCombined(line string) (r record, err error) {
	_, rest, ok := strings.Cut(line, "[")
	date, rest, ok2 := strings.Cut(rest, "]")
	if !ok || !ok2 {
		return r, errNoTime
	}
	if r.at, err = time.Parse("02/Jan/2006:15:04:05 -0700", date); err != nil {
		return r, errNoTime
	}
	_, rest, _ = strings.Cut(rest, "\"")
	requestLine, _, ok := strings.Cut(rest, "\"")
	if !ok {
		return r, errors.New("no request that can be read")
	}
	r.method, r.path, err = parseRequest(requestLine)
	return r, err
}

// parseHAProxy parses a line in HAProxy's HTTP log format (configuration manual, section 8.2.3):
// ... client [accept date] frontend backend/server timers status bytes ... "request". The date has
// milliseconds but no time zone; UTC is assumed.
func parseHAProxy(line string) (r record, err error) {
	dateEnd := strings.Index(line, "] ")
	dateStart := strings.LastIndexByte(line[:max(dateEnd, 0)], '[')
	if dateEnd < 0 || dateStart < 0 {
		return r, errNoTime
	}
	if r.at, err = time.Parse("02/Jan/2006:15:04:05.000", line[dateStart+1:dateEnd]); err != nil {
		return r, errNoTime
	}
	quoteStart, quoteEnd := strings.IndexByte(line[dateEnd:], '"'), strings.LastIndexByte(line, '"')
	if quoteStart < 0 || dateEnd+quoteStart >= quoteEnd {
		return r, errors.New("no request that can be read")
	}
	requestLine := line[dateEnd+quoteStart+1 : quoteEnd]
	if strings.HasPrefix(requestLine, "<") { // <BADREQ> in place of a request
		return r, errors.New("no request that can be read")
	}
	r.method, r.path, err = parseRequest(requestLine)
	return r, err
}

// Reader reads a trace that Import wrote.
type Reader struct {
	scanner    *bufio.Scanner
	lineNumber int
	lastAt     time.Duration
}

// NewReader returns a Reader of in. The error is always nil.
func NewReader(in io.Reader) (*Reader, error) {
	s := bufio.NewScanner(in)
	s.Buffer(make([]byte, 4096), MaxLineBytes)
	return &Reader{scanner: s}, nil
}

// Next returns the next call, and io.EOF at the end. Entries out of order, or with a body length
// out of range, are errors.
func (r *Reader) Next() (e Entry, err error) {
	if !r.scanner.Scan() {
		if err := r.scanner.Err(); err != nil {
			return e, fmt.Errorf("trace: line %d: %w", r.lineNumber+1, err)
		}
		return e, io.EOF
	}
	r.lineNumber++
	if err := json.Unmarshal(r.scanner.Bytes(), &e); err != nil {
		return e, fmt.Errorf("trace: line %d: %w", r.lineNumber, err)
	}
	if e.At < r.lastAt || e.BodyBytes < 0 || e.BodyBytes > maxBodyBytes {
		return e, fmt.Errorf("trace: line %d: at_ns is less than in the line before, or body is out of range", r.lineNumber)
	}
	r.lastAt = e.At
	return e, nil
}
