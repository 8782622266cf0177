package trace

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Recordings contain lines that are malformed, out of order or without a class. In each format, the
// usable calls must be imported in order of time and every other line counted by its reason, so
// that no part of the traffic is lost unnoticed.
func TestImportFormats(t *testing.T) {
	prefixes := map[string]string{"/api/": "other", "/api/act": "activate", "/status": "status-check"}
	for name, c := range map[string]struct {
		options Options
		text    string
		want    []Entry
		leftOut map[string]int64
	}{
		"json": {Options{Format: "json", Columns: map[string]string{"at": "ts", "class": "kind"}},
			`{"ts":1700000002.5,"kind":"b","body":12}
{"ts":"2023-11-14T22:13:20Z","kind":"a","key":"k1"}
nonsense
{"ts":1700000001000,"kind":"a"}
{"kind":"a"}
{"ts":1700000003,"kind":"a","body":-1}
{"ts":1700000004}
`, []Entry{{0, "a", "", "k1", 0}, {time.Second, "a", "", "", 0}, {2500 * time.Millisecond, "b", "", "", 12}},
			map[string]int64{"no JSON": 1, errNoTime.Error(): 1, "a body of an impossible length": 1, "no class": 1}},
		"csv": {Options{Format: "csv", Columns: map[string]string{"at": "when", "path": "uri"}, Prefixes: prefixes},
			"when,uri,body\n1700000001,/api/act/7?x=1,300\n1700000000,/api/list,\n1700000002,/elsewhere,1\n1700000003,/status,x\n1700000004,/st\n",
			[]Entry{{0, "other", "/api/list", "", 0}, {time.Second, "activate", "/api/act/7?x=1", "", 300}},
			map[string]int64{"a path of no class": 2, "a body of an impossible length": 1}},
		"haproxy": {Options{Format: "haproxy", Prefixes: prefixes},
			`Feb  6 12:14:14 localhost haproxy[14389]: 10.0.1.2:33317 [06/Feb/2009:12:14:14.655] http-in static/srv1 10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 {1wt.eu} {} "GET /status/9 HTTP/1.1"
Feb  6 12:14:14 localhost haproxy[14389]: 10.0.1.2:33318 [06/Feb/2009:12:14:13.655] http-in static/srv1 10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 "POST /api/act HTTP/1.1"
Feb  6 12:14:15 localhost haproxy[14389]: 10.0.1.2:33319 [06/Feb/2009:12:14:15.000] http-in http-in/<NOSRV> -1/-1/-1/-1/0 400 187 - - PR-- 1/1/0/0/0 0/0 "<BADREQ>"
Feb  6 12:14:16 localhost haproxy[14389]: Proxy http-in started.
`, []Entry{{0, "activate", "/api/act", "", 0}, {time.Second, "status-check", "/status/9", "", 0}},
			map[string]int64{"no request that can be read": 1, errNoTime.Error(): 1}},
		"combined": {Options{Format: "combined"},
			`127.0.0.1 - frank [10/Oct/2000:13:55:36 -0700] "GET /status-check/1 HTTP/1.0" 200 2326 "http://www.example.com/start.html" "Mozilla/4.08 [en] (Win98; I ;Nav)"
127.0.0.1 - - [10/Oct/2000:20:55:38 +0000] "POST /activate HTTP/1.1" 200 1
127.0.0.1 - - [10/Oct/2000:20:55:39 +0000] "-" 408 0
127.0.0.1 - - "GET / HTTP/1.1" 200 1
`, []Entry{{0, "status-check", "/status-check/1", "", 0}, {2 * time.Second, "activate", "/activate", "", 0}},
			map[string]int64{"no request that can be read": 1, errNoTime.Error(): 1}},
	} {
		var out bytes.Buffer
		summary, err := Import(strings.NewReader(c.text), &out, c.options)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		r, _ := NewReader(bytes.NewReader(out.Bytes()))
		var got []Entry
		for {
			e, err := r.Next()
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, e)
		}
		if len(got) != len(c.want) || summary.Taken != int64(len(got)) {
			t.Errorf("%s: imported %+v, %d counted as taken", name, got, summary.Taken)
			continue
		}
		leftOutTotal := int64(0)
		for reason, count := range summary.LeftOut {
			leftOutTotal += count
			if c.leftOut[reason] != count {
				t.Errorf("%s: left out %d with %q, want %d", name, count, reason, c.leftOut[reason])
			}
		}
		if summary.Lines != summary.Taken+leftOutTotal {
			t.Errorf("%s: %d lines, %d taken, %d left out", name, summary.Lines, summary.Taken, leftOutTotal)
		}
		for i := range got {
			if got[i] != c.want[i] {
				t.Errorf("%s: %+v, want %+v", name, got[i], c.want[i])
			}
		}
	}
	if _, err := Import(strings.NewReader("a,b\n"), io.Discard, Options{Format: "csv", Columns: map[string]string{"at": "c"}}); err == nil {
		t.Error("no error for a column that does not exist")
	}
	if _, err := Import(strings.NewReader(""), io.Discard, Options{Format: "xml"}); err == nil {
		t.Error("no error for an unknown format")
	}
}

// FuzzImport checks that for any input the taken and left-out lines add up to the total and that
// Reader can read the trace.
func FuzzImport(f *testing.F) {
	for _, format := range []string{"json", "csv", "haproxy", "combined"} {
		f.Add(format, []byte("at,class\n1,a\n"))
		f.Add(format, []byte(`{"at":1,"class":"a"}`))
		f.Add(format, []byte(`x [06/Feb/2009:12:14:14.655] f b/s 1 "GET /a HTTP/1.1"`))
		f.Add(format, []byte(`h - - [10/Oct/2000:13:55:36 -0700] "GET /a HTTP/1.0" 200 1`))
	}
	f.Fuzz(func(t *testing.T, format string, data []byte) {
		var out bytes.Buffer
		summary, err := Import(bytes.NewReader(data), &out, Options{Format: format})
		if err != nil {
			return
		}
		sum := summary.Taken
		for _, k := range summary.LeftOut {
			sum += k
		}
		if sum != summary.Lines {
			t.Fatalf("%+v", summary)
		}
		r, _ := NewReader(&out)
		for k := int64(0); ; k++ {
			if _, err := r.Next(); err == io.EOF {
				if k != summary.Taken {
					t.Fatalf("%d calls read, want %d as taken", k, summary.Taken)
				}
				return
			} else if err != nil {
				t.Fatal(err)
			}
		}
	})
}
