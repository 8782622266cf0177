// Package message is an HTTP message as the two sides of a call share it: what a
// listener has read, a transport sends, and the other way round. The core carries
// both without looking into them.
package message

import (
	"net/http"
	"strconv"
)

// Request is a client's request as each of its attempts sends it.
type Request struct {
	Method string
	Head   []byte   // request line and header fields, but for the deadline and the empty line
	Body   [][]byte // in pieces
	Source Source   // a body of another kind; nil: Body has it whole
	// Again is called when a further attempt is made with Body; nil: nobody counts them.
	Again func()
	// Chunked says that Source goes on in chunks (RFC 9112 section 7.1): Head tells no
	// length.
	Chunked bool
	Marked  bool // each attempt tells the next tier that it is decided here
	// Client is who waits for the answer; nil: nobody can tell.
	Client Client
}

// Client is who waits for a call's answer.
type Client interface {
	// Left says whether it has left by now, also where nobody has been told yet. It may
	// cost a system call, waits for nothing, and may be called from any goroutine.
	Left() bool
}

// Answer is a server's answer.
type Answer struct {
	Status int // 0 stands for 200
	Header http.Header
	Body   []byte // whole, or of a long one what has come so far
	Length int64  // of a long one, -1 if it is not told
}

// AttemptsField tells the next tier how many attempts it may make for a call. Its
// value is a number, and behind '; nth=' which attempt of the sender's this is. A
// receiver only ever lowers its own limit by it: a value that it can't read counts
// as 1, so a forged or spoilt field costs attempts and never adds any.
const AttemptsField = "Req-Attempts"

// hop has the fields that belong to one hop only (RFC 9110 section 7.6.1, and the
// platform's own).
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline-Ms": true,
	AttemptsField: true,
}

// AppendHead appends the head of a request to the next hop, without the empty line
// that ends it. A size below 0 says that there is no body.
func AppendHead(b []byte, method, uri, host string, h http.Header, size int64) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, uri...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	b = AppendFields(b, h)
	if size >= 0 {
		b = AppendLength(b, size)
	}
	return b
}

// AppendFields appends the fields that go on to the next hop.
func AppendFields(b []byte, h http.Header) []byte {
	for name, values := range h {
		if hop[name] {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// AppendLength appends the length of a body.
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// Source is a body that attempts read, each from its beginning.
type Source interface {
	// Open begins a reading. The error says that the body can't be read, or not again.
	Open() (Reading, error)
	// Length is how long it is, -1 while that is not known.
	Length() int64
}

// Reading is one attempt's. Close may be called from another goroutine than Next.
type Reading interface {
	// Next returns the next piece, good until the call after it, and waits for one that
	// has not come yet; io.EOF says that the last one has been. Another error says that
	// no more comes.
	Next() ([]byte, error)
	// Close ends the reading, also one that waits in Next.
	Close()
}
