package front

import (
	"io"
	"net"
	"strings"
	"testing"
)

// Guards against clients whose bodies find no room and that write them slowly: hundreds of them must
// not hold more than their connections do.
func TestBodiesWithoutRoomHoldNoMemory(t *testing.T) {
	s, _, dial := startServer(t, Config{MaxConns: 2 * stoppedClients, MaxBodyBytes: 1}, echo)
	before := liveBytes()
	var conns []net.Conn
	for range stoppedClients {
		c := dial()
		conns = append(conns, c)
		io.WriteString(c, request("POST /a", idFields+"Content-Length: 60000\r\n")+strings.Repeat("x", 10_000))
	}
	waitFor(t, "the bodies are not read", func() bool {
		read := 0
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			if c.busy && !c.inHead && !c.peeker.hasPending() {
				read++
			}
		}
		return read == stoppedClients
	})
	if got, most := liveBytes()-before, int64(stoppedClients*connectionBytes); got > most {
		t.Errorf("%d slow bodies hold %d KB, want %d KB at most", stoppedClients, got>>10, most>>10)
	}
	for _, c := range conns {
		c.Close()
	}
}
