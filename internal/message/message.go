// Package message defines the HTTP requests and answers that listeners and transports
// exchange. A listener reads a request and a transport sends it, and the other way round
// for an answer. The core passes both on without inspecting them.
package message

import (
	"net/http"
	"strconv"
)

// Request is a client's request in the form that each attempt sends.
type Request struct {
	Method string
	Head   []byte     // request line and header fields, without the deadline field and the final empty line
	Body   [][]byte   // in pieces
	Source BodySource // the body if Body does not hold it; nil: Body holds the complete body
	// OnRetry is called when a further attempt is made with Body; nil: not called.
	OnRetry func()
	// Chunked reports that Source is sent with the chunked transfer coding (RFC 9112
	// section 7.1), as Head states no length.
	Chunked bool
	Marked  bool // each attempt tells the next tier that retries are decided here
	// Client is the client that waits for the answer; nil: unknown.
	Client Client
}

// Client is the client that waits for a call's answer.
type Client interface {
	// HasLeft reports whether the client has left, even if that has not been reported yet. It
	// may make a system call, does not block, and may be called from any goroutine.
	HasLeft() bool
}

// Answer is a server's answer.
type Answer struct {
	Status int // 0 means 200
	Header http.Header
	Body   []byte // the complete body or, for a streamed answer, the part received so far
	Length int64  // of a streamed answer's body; -1: unknown
}

// AttemptsField is the header field that tells the next tier how many attempts it may make
// for a call. Its value is a number, optionally followed by '; nth=' and the number
// of the sender's attempt. A receiver uses the value only to lower its own limit, and treats one
// that it cannot parse as 1, so a forged or corrupt field reduces the attempts and never
// adds any.
const AttemptsField = "Req-Attempts"

// hopFields holds the header fields that are not forwarded: those of RFC 9110 section 7.6.1 and
// the platform's own.
var hopFields = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true, "Req-Deadline-Ms": true,
	AttemptsField: true,
}

// AppendHead appends the head of a request for the next hop, without the final empty line.
// A size below 0 means that there is no body.
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

// AppendFields appends the header fields that are forwarded to the next hop.
func AppendFields(b []byte, h http.Header) []byte {
	for name, values := range h {
		if hopFields[name] {
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

// AppendLength appends the Content-Length field for a body of n bytes.
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// BodySource is a request body that each attempt reads from its beginning.
type BodySource interface {
	// Open returns a reader that starts at the beginning. It returns an error if the body cannot be read, or not
	// once more.
	Open() (BodyReader, error)
	// Length returns the length in bytes, or -1 while it is unknown.
	Length() int64
}

// BodyReader reads a body for one attempt. Close may be called concurrently with Next.
type BodyReader interface {
	// Next returns the next piece, which is valid until the following call. It blocks until
	// a piece is available. After the last piece it returns io.EOF; any other error means
	// that the rest of the body is not available.
	Next() ([]byte, error)
	// Close ends the reading and unblocks a pending Next.
	Close()
}
