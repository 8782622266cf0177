package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chalkrack"
	"chalkrack/internal/bytebudget"
)

// An answer that the budget has no room for is passed on while it arrives, whatever its length, and all
// room is returned however the answer ends.
func TestAnswersKeepToTheirBudget(t *testing.T) {
	body := strings.Repeat("x", 30<<10)
	long := strings.Repeat("y", 3*MaxBuffered)
	for name, c := range map[string]struct {
		answer  string
		limit   int64
		outcome chalkrack.Outcome
		streams int // bytes
	}{
		"short, room":         {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 1 << 20, chalkrack.OK, 0},
		"short, no room":      {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 1, chalkrack.OK, len(body)},
		"very short, no room": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 1, chalkrack.OK, 0},
		"chunked, room":       {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1 << 20, chalkrack.OK, 0},
		"chunked, no room":    {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), 1, chalkrack.OK, len(body)},
		"long, room":          {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 1 << 20, chalkrack.OK, len(long)},
		"long, little room":   {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), 9 << 10, chalkrack.OK, len(long)},
		"error, no room":      {fmt.Sprintf("HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n%s", len(body), body), 1, chalkrack.ServerError, 0},
		"broken, room":        {fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nzz\r\n", len(body), body), 1 << 20, chalkrack.Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := startFakeServer(t, answerEach(c.answer))
			budget := bytebudget.New(c.limit)
			p := New(Config{ConnIdleTimeout: time.Minute, DialTimeout: 5 * time.Second, DrainGrace: time.Minute, MaxConns: 9, Answers: budget})
			p.AddServer("s", addr, 0)
			s := newSink()
			p.Start(newGetAttempt(s))
			if r := s.wait(t); r.outcome != c.outcome || s.streamed.Len() != c.streams {
				t.Errorf("outcome %d, %d bytes streamed, want %d and %d", r.outcome, s.streamed.Len(), c.outcome, c.streams)
			}
			waitFor(t, "room is not returned", func() bool { return budget.Used() == 0 })
		})
	}
}

// Guards against a held first part that is lost because its attempt's time ends before it is passed on.
func TestHeldAnswerIsPassedOnBeforeItsDeadline(t *testing.T) {
	addr, _ := startFakeServer(t, answerEach("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"))
	p := newPool(9)
	p.streamStallTimeout = 50 * time.Millisecond
	p.AddServer("s", addr, 0)
	s := newSink()
	began, passedOn := time.Now(), make(chan time.Duration, 1)
	s.onStream = func() { passedOn <- time.Since(began) }
	a := newGetAttempt(s)
	a.Deadline = began.Add(maxHoldTime / 5)
	p.Start(a)
	if after := <-passedOn; after > maxHoldTime*3/4 {
		t.Errorf("passed on after %v, the deadline is at %v", after, maxHoldTime/5)
	}
	s.wait(t)
}
