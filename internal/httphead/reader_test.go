package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

const bufferBytes = 4 << 10

func newReader(input io.Reader, kind Kind) *Reader {
	source := &Source{R: input}
	return &Reader{Buffer: bufio.NewReaderSize(source, bufferBytes), Source: source, Kind: kind}
}

func always(int64) bool { return true }

// pieces supplies its parts one a Read.
type pieces struct{ parts [][]byte }

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.parts[0])
	if p.parts[0] = p.parts[0][n:]; len(p.parts[0]) == 0 {
		p.parts = p.parts[1:]
	}
	return n, nil
}

// cut cuts text into pieces of random sizes.
func cut(t *rapid.T, text string) *pieces {
	p := new(pieces)
	for b := []byte(text); len(b) > 0; {
		n := min(len(b), rapid.IntRange(1, 9000).Draw(t, "piece"))
		p.parts = append(p.parts, b[:n])
		b = b[n:]
	}
	return p
}

// drawHead draws the text of a head: mostly well-formed fields, few or many, with any ends of lines,
// and some lines that no parser accepts.
func drawHead(t *rapid.T) string {
	var head strings.Builder
	end := rapid.SampledFrom([]string{"\r\n", "\n"})
	head.WriteString(rapid.SampledFrom([]string{"GET /a HTTP/1.1", "POST /b HTTP/1.0", "GET / HTTP/3", "hello there", "", "A B C D HTTP/1.1"}).Draw(t, "first line"))
	head.WriteString(end.Draw(t, "end"))
	fields := rapid.SampledFrom([]string{"a:", "a:  b ", "X-Long: " + strings.Repeat("v", 3000), "Host: h", " folded", "\tfolded:", ":", "no colon", "Content-Length: 0", "b : c", "\r", "é: x"})
	for range rapid.IntRange(0, 12).Draw(t, "groups") {
		line := fields.Draw(t, "field") + end.Draw(t, "end")
		head.WriteString(strings.Repeat(line, rapid.SampledFrom([]int{1, 1, 1, 700}).Draw(t, "times")))
	}
	head.WriteString(end.Draw(t, "end"))
	return head.String()
}

// A head that was read in any pieces is parsed as if the parser had read it itself, and what
// follows it on the connection is unchanged.
func TestParsedAsWithoutReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := drawHead(t)
		rest := rapid.SampledFrom([]string{"", "body", strings.Repeat("r", 20_000)}).Draw(t, "rest")
		direct := bufio.NewReaderSize(strings.NewReader(text+rest), bufferBytes)
		want, wantErr := http.ReadRequest(direct)
		r := newReader(cut(t, text+rest), Request)
		head, err := r.Read(always)
		if errors.Is(err, ErrTooLong) {
			if len(text) < MaxBytes {
				t.Fatalf("a head of %d bytes is too long", len(text))
			}
			return
		}
		if err != nil {
			if wantErr == nil {
				t.Fatalf("%v, without a reader the head is parsed", err)
			}
			return
		}
		raw := string(head.Bytes)
		got, gotErr := http.ReadRequest(r.Buffer)
		r.Parsed()
		if head.IsMalformed && gotErr == nil {
			t.Fatalf("a head is taken for malformed and parsed: %q", raw)
		}
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("parsed with error %v, without a reader %v", gotErr, wantErr)
		}
		if gotErr != nil {
			return
		}
		if !reflect.DeepEqual(got.Header, want.Header) || got.Host != want.Host || got.RequestURI != want.RequestURI {
			t.Fatalf("parsed %v, without a reader %v", got, want)
		}
		if raw != text[:len(raw)] {
			t.Fatal("the bytes of the head are others than those that were sent")
		}
		gotRest, _ := io.ReadAll(r.Buffer)
		wantRest, _ := io.ReadAll(direct)
		if !bytes.Equal(gotRest, wantRest) || string(gotRest) != text[len(raw):]+rest {
			t.Fatalf("%d bytes follow the head, want %d", len(gotRest), len(wantRest))
		}
	})
}

// Heads at and over the limit, of requests and answers.
func TestHeadLimit(t *testing.T) {
	for kind, first := range map[Kind]string{Request: "GET / HTTP/1.1\r\n", Answer: "HTTP/1.1 200 OK\r\n"} {
		for size, want := range map[int]error{MaxBytes: nil, MaxBytes + 1: ErrTooLong, 2 * MaxBytes: ErrTooLong} {
			text := first + "X: " + strings.Repeat("x", size-len(first)-len("X: \r\n\r\n")) + "\r\n\r\n"
			r := newReader(iotest.HalfReader(strings.NewReader(text)), kind)
			head, err := r.Read(always)
			if err != want || want == nil && (len(head.Bytes) != size || !head.IsLong) {
				t.Errorf("kind %d: a head of %d bytes: read %d, error %v, want %v", kind, size, len(head.Bytes), err, want)
			}
		}
	}
}

// Peers that do not send HTTP are found out at their first line, before the head is complete.
func TestMalformedHeadsAreFoundEarly(t *testing.T) {
	for text, kind := range map[string]Kind{
		"hello there\r\n":                Request,
		"\r\n":                           Request,
		"GET /\r\n":                      Request,
		"GET / HTTP/1.1\r\nno colon\r\n": Request,
		"GET / HTTP/1.1\r\n: none\r\n":   Request,
		"noise\n":                        Answer,
		"HTTP/1.1 200 OK\r\nnoise\r\n":   Answer,
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 2000) + "no colon\r\n": Request,
	} {
		r := newReader(strings.NewReader(text), kind)
		if head, err := r.Read(always); err != nil || !head.IsMalformed {
			t.Errorf("%.40q: malformed %v, error %v", text, head.IsMalformed, err)
		}
	}
}

// An incomplete head ends with the error of the connection, and one without room with ErrNoRoom
// before it is stored.
func TestIncompleteHeads(t *testing.T) {
	for _, size := range []int{1, bufferBytes - 1, bufferBytes + 1, 40 << 10} {
		text := ("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", size))[:size]
		if _, err := newReader(strings.NewReader(text), Request).Read(always); err != io.EOF {
			t.Errorf("%d bytes of a head, then the end: error %v", size, err)
		}
	}
	var asked []int64
	text := "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10)
	_, err := newReader(strings.NewReader(text), Request).Read(func(size int64) bool {
		asked = append(asked, size)
		return size < 32<<10
	})
	if err != ErrNoRoom || fmt.Sprint(asked) != "[8192 16384 32768]" {
		t.Errorf("asked for room of %v, error %v", asked, err)
	}
}
