package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"chalkrack"
)

func TestChunkedBody(t *testing.T) {
	for _, c := range []struct {
		text, body string
		ok         bool
	}{
		{"0\r\n\r\n", "", true},
		{"2\r\nhi\r\n0\r\n\r\n", "hi", true},
		{"2;name=value\r\nhi\r\nA\r\n0123456789\r\n000\r\nTrailer: x\r\n\r\n", "hi0123456789", true},
		{"2\r\nhi\r\n", "hi", false},
		{"2\r\nhi\r\n0\r\n", "hi", false},
		{"3\r\nhi", "hi", false},
		{"2\r\nhi!\r\n0\r\n\r\n", "hi", false},
		{"2\nhi\r\n0\r\n\r\n", "", false},
		{"zz\r\nhi\r\n0\r\n\r\n", "", false},
		{"-2\r\nhi\r\n0\r\n\r\n", "", false},
		{"\r\nhi\r\n0\r\n\r\n", "", false},
		{"ffffffffffffffff1\r\nhi\r\n0\r\n\r\n", "", false},
		{strings.Repeat("1", 5000) + "\r\nhi", "", false},
	} {
		for _, byteByByte := range []bool{false, true} {
			var source io.Reader = strings.NewReader(c.text + "next")
			if !c.ok {
				source = strings.NewReader(c.text)
			}
			if byteByByte {
				source = iotest.OneByteReader(source)
			}
			reader := bufio.NewReaderSize(source, connBufferBytes)
			body, err := io.ReadAll(&chunkedBody{reader: reader})
			if string(body) != c.body || (err == nil) != c.ok || errors.Is(err, io.EOF) {
				t.Errorf("%.40q: body %q, error %v", c.text, body, err)
			}
			if rest, _ := io.ReadAll(reader); c.ok && string(rest) != "next" {
				t.Errorf("%.40q: %q is left behind it", c.text, rest)
			}
		}
	}
}

// Guards against bytes that are held back because the server has not sent the rest of their chunk.
func TestPartOfALongChunkIsPassedOn(t *testing.T) {
	first, second := strings.Repeat("x", MaxBuffered+5000), strings.Repeat("y", 1000)
	arrived := make(chan struct{})
	addr, _ := startFakeServer(t, func(c net.Conn, br *bufio.Reader) {
		readRequest(br)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", len(first)+2*len(second), first)
		time.Sleep(2 * slowBodyDelay)
		io.WriteString(c, second)
		<-arrived // the rest is sent only after the second part was passed on
		io.WriteString(c, second+"\r\n0\r\n\r\n")
		br.ReadByte()
	})
	p := newPool(9)
	p.streamStallTimeout = testTimeout
	p.AddServer("s", addr, 0)
	s := &countingSink{sink: newSink(), want: len(first) + len(second), arrived: arrived}
	a := newGetAttempt(s.sink)
	a.Sink = s
	p.Start(a)
	if r := s.wait(t); r.outcome != chalkrack.OK || s.received != len(first)+2*len(second) {
		t.Errorf("outcome %d, %d bytes passed on", r.outcome, s.received)
	}
}

// countingSink closes arrived when want bytes of a streamed answer have been passed on.
type countingSink struct {
	*sink
	received, want int
	arrived        chan struct{}
	once           sync.Once
}

func (s *countingSink) Stream(any, chalkrack.LoadReport) io.Writer { return s }

func (s *countingSink) Write(p []byte) (int, error) {
	if s.received += len(p); s.received >= s.want {
		s.once.Do(func() { close(s.arrived) })
	}
	return len(p), nil
}
