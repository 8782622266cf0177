package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = caseForeign }

// delayed is a proxy that delays what passes it, each way by the same time. It returns its address.
func (s *site) delayed(to string, by time.Duration) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "proxy")
	s.onClose(func() { ln.Close() })
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			target, err := net.Dial("tcp", to)
			if err != nil {
				from.Close()
				continue
			}
			go passOn(target, from, by)
			go passOn(from, target, by)
		}
	}()
	return ln.Addr().String()
}

type piece struct {
	due  time.Time
	data []byte // nil: the end
}

// passOn passes bytes on, each piece after the delay, and then the end.
func passOn(to, from net.Conn, by time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		for p := range pieces {
			time.Sleep(time.Until(p.due))
			if p.data == nil {
				to.Close()
			} else if _, err := to.Write(p.data); err != nil {
				from.Close()
			}
		}
	}()
	defer close(pieces)
	for {
		buf := make([]byte, 4096)
		n, err := from.Read(buf)
		if n > 0 {
			pieces <- piece{time.Now().Add(by), buf[:n]}
		}
		if err != nil {
			pieces <- piece{time.Now().Add(by), nil}
			return
		}
	}
}

// doubleServer answers each request with its id. If second says so, the answer comes a second time after
// the given delay, unless something else waits on the connection by then.
type doubleServer struct {
	s      *site
	name   string
	addr   string
	second func() (after time.Duration, yes bool)
	ran    sync.Map // ids
	copies atomic.Int64
}

func (s *site) doubleServer(name string, second func() (time.Duration, bool)) *doubleServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "server")
	s.onClose(func() { ln.Close() })
	v := &doubleServer{s: s, name: name, addr: ln.Addr().String(), second: second}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go v.serve(c)
		}
	}()
	return v
}

func (v *doubleServer) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Req-Id")
		if id == "" {
			io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		v.ran.Store(id, time.Now())
		time.Sleep(time.Duration(2+rand.IntN(6)) * time.Millisecond)
		text := "ran " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		after, yes := v.second()
		if !yes {
			continue
		}
		c.SetReadDeadline(time.Now().Add(after))
		if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			continue // something waits
		}
		v.copies.Add(1)
		v.s.note("%s sends the answer to %s a second time", v.name, id)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
	}
}

// caseForeign: now and then some good answers come a second time, some milliseconds late. The servers are
// in another zone.
func caseForeign(s *site) {
	const (
		oneWay   = 2500 * time.Microsecond
		sidecars = 6
		clients  = 16
		pause    = 40 * time.Millisecond
		length   = 76 * time.Second

		firstSpell = 4 * time.Second
		every      = 34 * time.Second
	)
	// Second answers come in spells of a second, one of twenty answers then.
	began := time.Now()
	second := func() (time.Duration, bool) {
		inSpell := (time.Since(began)+every-firstSpell)%every < time.Second
		return time.Duration(4000+rand.IntN(2000)) * time.Microsecond, s.trouble && inSpell && rand.IntN(20) == 0
	}
	var servers []*doubleServer
	var listed []*server
	for n := range 6 {
		v := s.doubleServer(fmt.Sprintf("s%d", n+1), second)
		servers = append(servers, v)
		listed = append(listed, &server{name: v.name, addr: s.delayed(v.addr, oneWay)})
	}
	discovery := s.discovery(listed)
	own := s.features("version = 1\n")
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, served, foreign atomic.Int64
	for k := range sidecars {
		listen := s.freeAddr()
		config := s.configure(fmt.Sprintf("config%d.json", k), listen, discovery, classes(), listed)
		s.start(fmt.Sprintf("sidecar%d", k), nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
		s.awaitReady(listen)
		c := &client{s, listen}
		for m := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.Int64N(int64(2 * pause)))):
					}
					kind := []string{"status-check", "status-check", "id-register", "activate"}[rand.IntN(4)]
					q := request{method: "POST", path: "/" + kind + "/8962", id: fmt.Sprintf("k%dm%dn%d", k, m, n), kind: kind, body: strings.Repeat("x", 200), quiet: true}
					switch kind {
					case "status-check":
						q.method, q.body = "GET", ""
					case "id-register":
						q.key = "key-" + q.id
					}
					sent.Add(1)
					a := c.do(q)
					if a.status != 200 || a.err != nil {
						continue
					}
					if served.Add(1); a.body == "ran "+q.id {
						continue
					}
					ranToo := "it has not run anywhere"
					for _, v := range servers {
						if _, ok := v.ran.Load(q.id); ok {
							ranToo = "it has run at " + v.name
						}
					}
					foreign.Add(1)
					s.note("sidecar%d answers %s %s with 200 %q; %s", k, kind, q.id, a.body, ranToo)
				}
			}()
		}
	}
	time.Sleep(length)
	close(stop)
	wg.Wait()
	copies := int64(0)
	for _, v := range servers {
		copies += v.copies.Load()
	}
	s.note("%d requests were sent, %d served; %d answers came a second time", sent.Load(), served.Load(), copies)
	if n := foreign.Load(); n > 0 {
		s.broken("%d of %d served requests got the answer to another request; %d answers came a second time", n, served.Load(), copies)
	}
}
