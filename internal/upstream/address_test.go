package upstream

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack"
)

// Guards against an attempt that reaches another process than the one it was made for, because that
// one has come up at the same address while the connection was being established.
func TestConnectionToReplacedServerIsNotUsed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *Pool, addr string)
		want   chalkrack.Outcome
	}{
		"no change":                   {func(*Pool, string) {}, chalkrack.OK},
		"listed again":                {func(p *Pool, addr string) { p.AddServer("s", addr, 5) }, chalkrack.OK},
		"gone":                        {func(p *Pool, addr string) { p.RetireServer("s", "", 0, true) }, chalkrack.OK}, // within the grace
		"gone, another one came":      {func(p *Pool, addr string) { p.RetireServer("s", "", 0, true); p.AddServer("new", addr, 9) }, chalkrack.ConnectFailed},
		"draining, another one came":  {func(p *Pool, addr string) { p.RetireServer("s", "", 0, false); p.AddServer("new", addr, 9) }, chalkrack.ConnectFailed},
		"another one came":            {func(p *Pool, addr string) { p.AddServer("new", addr, 0) }, chalkrack.ConnectFailed},
		"restarted":                   {func(p *Pool, addr string) { p.AddServer("s", addr, 9) }, chalkrack.ConnectFailed},
		"gone, and came back":         {func(p *Pool, addr string) { p.RetireServer("s", "", 0, true); p.AddServer("s", addr, 9) }, chalkrack.ConnectFailed},
		"another one elsewhere":       {func(p *Pool, addr string) { p.AddServer("new", "127.0.0.1:1", 9) }, chalkrack.OK},
		"another one came and went":   {func(p *Pool, addr string) { p.AddServer("new", addr, 9); p.RetireServer("new", "", 0, true) }, chalkrack.OK},
		"shares its address with one": {func(p *Pool, addr string) { p.AddServer("twin", addr, 5); p.AddServer("s", addr, 5) }, chalkrack.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			addr, _ := startFakeServer(t, func(conn net.Conn, br *bufio.Reader) {
				if readRequest(br) == nil {
					requests.Add(1)
					io.WriteString(conn, okResponse)
				}
			})
			p := newPool(9)
			if name == "shares its address with one" {
				p.AddServer("twin", addr, 5)
			}
			p.AddServer("s", addr, 5)
			s := newSink()
			a := newGetAttempt(s)
			a.pool = p
			if _, _, err := p.acquire(a); err != nil { // the connection is being established from here on
				t.Fatal(err)
			}
			c.change(p, addr)
			go a.dial(addr)
			if r := s.wait(t); r.outcome != c.want {
				t.Errorf("outcome %d, want %d", r.outcome, c.want)
			}
			time.Sleep(10 * time.Millisecond)
			if sent := requests.Load() > 0; sent != (c.want == chalkrack.OK) {
				t.Errorf("sent to the process: %v", sent)
			}
		})
	}
}
