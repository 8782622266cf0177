package standin

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// Kind is what a server does with a request.
type Kind int

const (
	// Serve answers 200.
	Serve Kind = iota
	// Fail answers 500, after the request has run.
	Fail
	// Decline turns the request away unseen.
	Decline
	// Deny answers as Status says; it has not run.
	Deny
	// ResetEarly resets the connection at the request's head, before its last byte is
	// read. It does not arrive.
	ResetEarly
	// ResetLate resets it after the last byte. The request has run.
	ResetLate
	// CloseLate ends it in order, with no answer. The request has run.
	CloseLate
	// Silence never answers, and keeps the connection open. The request has run.
	Silence
	// Noise answers with what is no HTTP.
	Noise
	// EndlessHead answers with a head that does not end.
	EndlessHead
	// ShortBody ends its answer before the length that it tells.
	ShortBody
	// StopBody stops its answer half way and says no more.
	StopBody
	// Excess answers 200 with more behind it than belongs to it.
	Excess
	// Interim answers 200 behind two interim answers.
	Interim
	// Oversize says that the answer has 3 GB, and goes on sending for a while.
	Oversize
)

var kinds = [...]string{"serve", "fail", "decline", "deny", "reset early", "reset late", "close late", "silence",
	"noise", "endless head", "short body", "stop body", "excess", "interim", "oversize"}

// String is the kind's name.
func (k Kind) String() string { return kinds[k] }

// runs says whether a request that is met so takes effect.
func (k Kind) runs() bool { return k != Decline && k != Deny && k != ResetEarly }

// Act is what a server does with one request.
type Act struct {
	Kind   Kind
	Delay  time.Duration // between the request's last byte and the answer
	Status int           // for Deny
	Body   string        // of a good answer; empty: a word with the request's id
	// Early answers at the request's head, reads a little of its body and ends the
	// connection. It does not arrive.
	Early bool
}

// Request is what a Script sees.
type Request struct {
	ID, Class, Key string
	Nth            int // of the request's arrivals at all servers, from 1
	Server         string
	Header         http.Header
	Body           string // of a longer one than bodyMost the beginning
}

// bodyMost is how much of a body a Script sees. All of it is booked by size and sum.
const bodyMost = 64 << 10

// Script says what a server does with a request. It is called from many goroutines.
type Script func(r Request) Act

// Always does the same with all.
func Always(a Act) Script { return func(Request) Act { return a } }

// Nth does with the n-th arrival of each request what stands at its place, with later
// ones the last.
func Nth(acts ...Act) Script {
	return func(r Request) Act { return acts[min(r.Nth, len(acts))-1] }
}

// ByClass has a script for each class; others are served.
func ByClass(scripts map[string]Script) Script {
	return func(r Request) Act {
		if s := scripts[r.Class]; s != nil {
			return s(r)
		}
		return Act{}
	}
}

// Odd is an act and how likely it is.
type Odd struct {
	Share float64
	Act   Act
}

// Random draws an act for each arrival; what is left of the shares is served. The
// draw hangs on the seed, the request's id and the number of its arrival only, so that
// it is the same on every run, in whatever order requests come.
func Random(seed uint64, odds ...Odd) Script {
	return func(r Request) Act {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d", r.ID, r.Nth)
		draw := rand.New(rand.NewPCG(seed, h.Sum64())).Float64()
		for _, o := range odds {
			if draw < o.Share {
				return o.Act
			}
			draw -= o.Share
		}
		return Act{}
	}
}

// answer writes what an act answers; goesOn says that the connection may be used again.
func (a Act) answer(c net.Conn, r Request) (goesOn bool) {
	body := a.Body
	if body == "" {
		body = "done " + r.ID
	}
	good := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch a.Kind {
	case Serve:
		return write(good)
	case Fail:
		return write("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
	case Decline:
		return write("HTTP/1.1 503 Declined\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	case Deny:
		return write(fmt.Sprintf("HTTP/1.1 %d Denied\r\nContent-Length: %d\r\n\r\n%s", a.Status, len(body), body))
	case Interim:
		return write("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good)
	case Excess:
		write(good + good)
	case Noise:
		write("\x16\x03\x01 what is this\r\n\r\n")
	case EndlessHead:
		write("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("head", 40<<10))
	case ShortBody:
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+9, body))
		return false // and closes
	case StopBody:
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+9, body))
	case Oversize:
		write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		for range 64 {
			if !write(strings.Repeat("x", 64<<10)) {
				return false
			}
		}
	case ResetEarly, ResetLate:
		reset(c)
		return false
	case CloseLate:
		return false
	}
	// The connection stays open and is of no further use.
	io.Copy(io.Discard, c)
	return false
}

func reset(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
	c.Close()
}
