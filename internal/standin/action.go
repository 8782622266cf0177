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

// ActionKind selects what a server does with a request.
type ActionKind int

const (
	// Serve answers 200.
	Serve ActionKind = iota
	// Fail answers 500. The request has run.
	Fail
	// Decline answers 503 with Srv-Declined. The request hasn't run.
	Decline
	// Deny answers with the given status. The request hasn't run.
	Deny
	// ResetEarly resets the connection after the request's head, before its last byte is
	// read. The request doesn't count as arrived.
	ResetEarly
	// ResetLate resets the connection after the request's last byte. The request has run.
	ResetLate
	// CloseLate closes the connection without an answer. The request has run.
	CloseLate
	// Silence never answers and keeps the connection open. The request has run.
	Silence
	// Noise answers with bytes that are not HTTP.
	Noise
	// EndlessHead answers with a head that doesn't end.
	EndlessHead
	// ShortBody closes the connection before the answer has its Content-Length.
	ShortBody
	// StopBody stops sending before the answer has its Content-Length, and keeps the connection
	// open.
	StopBody
	// Excess answers 200 and sends a second answer that no request asked for.
	Excess
	// Interim sends two interim answers, then 200.
	Interim
	// Oversize announces an answer of 3 GB and sends the first 4 MiB of it.
	Oversize
)

var kindNames = [...]string{"serve", "fail", "decline", "deny", "reset early", "reset late", "close late", "silence",
	"noise", "endless head", "short body", "stop body", "excess", "interim", "oversize"}

// String returns the name of the kind.
func (k ActionKind) String() string { return kindNames[k] }

// takesEffect reports whether a request that is treated in this way has run.
func (k ActionKind) takesEffect() bool { return k != Decline && k != Deny && k != ResetEarly }

// Action describes what a server does with one request.
type Action struct {
	Kind   ActionKind
	Delay  time.Duration // between the request's last byte and the answer
	Status int           // for Deny
	Body   string        // of a complete answer; if empty, "done" and the request's id
	// BeforeBody answers after the request's head, reads the beginning of its body and closes the
	// connection. The request doesn't count as arrived.
	BeforeBody bool
	Slow       *SlowAnswer // answers 200 with this body instead of Body; nil: none; for Serve only
}

// Request is a request as a Script sees it.
type Request struct {
	ID, Class, Key string
	AttemptNumber  int // among the request's arrivals at all servers, from 1
	Server         string
	Header         http.Header
	Body           string // at most the first maxScriptBodyBytes
}

// maxScriptBodyBytes is how much of a body a Script sees. A Ledger records the size and the SHA-256
// of the complete body.
const maxScriptBodyBytes = 64 << 10

// Script decides what a server does with a request. It is called from many goroutines at once. The
// first call for an attempt comes before the body is read and has an empty Body. A second call,
// with the body, follows only if another attempt of the same request has taken the number
// meanwhile.
type Script func(r Request) Action

// Always returns a Script that treats all requests alike.
func Always(a Action) Script { return func(Request) Action { return a } }

// Sequence returns a Script that applies the given actions to the attempts of each request in
// order. The last action also applies to all later attempts.
func Sequence(actions ...Action) Script {
	return func(r Request) Action { return actions[min(r.AttemptNumber, len(actions))-1] }
}

// ByClass returns a Script that applies the script of the request's class. Classes without a script
// are served.
func ByClass(scripts map[string]Script) Script {
	return func(r Request) Action {
		if s := scripts[r.Class]; s != nil {
			return s(r)
		}
		return Action{}
	}
}

// WeightedAction is an action and its probability.
type WeightedAction struct {
	Probability float64
	Action      Action
}

// Random returns a Script that chooses an action for each attempt at random. If the probabilities
// add up to less than 1, the remaining attempts are served. The choice depends only on the seed,
// the request's id and the attempt's number, so it is the same on every run, in whatever order the
// requests come.
func Random(seed uint64, odds ...WeightedAction) Script {
	return func(r Request) Action {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s %d", r.ID, r.AttemptNumber)
		draw := rand.New(rand.NewPCG(seed, h.Sum64())).Float64()
		for _, o := range odds {
			if draw < o.Probability {
				return o.Action
			}
			draw -= o.Probability
		}
		return Action{}
	}
}

// writeAnswer sends the answer and reports whether the connection can take another request. Where
// the connection stays open without being reusable, it blocks until the peer closes it.
func (a Action) writeAnswer(conn net.Conn, req Request) (reusable bool) {
	body := a.Body
	if body == "" {
		body = "done " + req.ID
	}
	okAnswer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	switch a.Kind {
	case Serve:
		if a.Slow != nil {
			return a.Slow.write(conn, req.ID)
		}
		return write(okAnswer)
	case Fail:
		return write("HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
	case Decline:
		return write("HTTP/1.1 503 Declined\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
	case Deny:
		return write(fmt.Sprintf("HTTP/1.1 %d Denied\r\nContent-Length: %d\r\n\r\n%s", a.Status, len(body), body))
	case Interim:
		return write("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okAnswer)
	case Excess:
		write(okAnswer + okAnswer)
	case Noise:
		write("\x16\x03\x01 what is this\r\n\r\n")
	case EndlessHead:
		write("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("head", 40<<10))
	case ShortBody:
		write(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+9, body))
		return false // the caller closes the connection
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
		resetConn(conn)
		return false
	case CloseLate:
		return false
	}
	// The connection stays open until the peer closes it; it takes no further request.
	io.Copy(io.Discard, conn)
	return false
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if l, ok := conn.(interface{ SetLinger(int) error }); ok {
		l.SetLinger(0)
	}
	conn.Close()
}
