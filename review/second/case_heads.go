package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["heads"] = caseHeads }

// idleClosingServer answers at once, and closes a connection that has been idle for the time that the
// settings name, also one on which no request has come.
func (s *site) idleClosingServer(name string, attempts *atomic.Int64) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "server")
	h := &http.Server{IdleTimeout: connIdle, ReadHeaderTimeout: connIdle, MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempts.Add(1)
		io.Copy(io.Discard, r.Body)
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "ran %s", r.Header.Get("Req-Id"))
	})}
	go h.Serve(ln)
	s.onClose(func() { h.Close() })
	return &server{s: s, name: name, addr: ln.Addr().String()}
}

const connIdle = 30 * time.Second

// verdict is how a sidecar answered a request.
type verdict struct {
	at       time.Time
	rejected bool
}

// caseHeads: a calm day on which some requests are long: those of the class that is safe to repeat have no
// body, so it is their head that is long.
func caseHeads(s *site) {
	const (
		sidecars  = 3
		clients   = 10
		length    = 60 * time.Second
		longBytes = 12 << 10
	)
	s.sockets = 256
	stop := make(chan struct{})
	var wg sync.WaitGroup
	type played struct {
		mu       sync.Mutex
		verdicts []verdict
		attempts atomic.Int64
		lastSeen []time.Time // of attempts
	}
	all := make([]*played, sidecars)
	for k := range all {
		all[k] = new(played)
		// Each sidecar has servers of its own here, so that its attempts can be told apart.
		var servers []*server
		for n := range 6 {
			servers = append(servers, s.idleClosingServer(fmt.Sprintf("s%d", n+1), &all[k].attempts))
		}
		listen := s.freeAddr()
		config := s.configure(fmt.Sprintf("config%d.json", k), listen, s.discovery(servers), classes(), servers)
		s.start(fmt.Sprintf("sidecar%d", k), nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+s.features("version = 1\n"))
		s.awaitReady(listen)
		p := all[k]
		for m := range clients {
			wg.Add(1)
			go func() {
				defer wg.Done()
				c := &client{s, listen}
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(time.Duration(rand.IntN(200)) * time.Millisecond):
					}
					kind := []string{"status-check", "status-check", "id-register", "activate"}[rand.IntN(4)]
					q := request{method: "POST", path: "/" + kind + "/8962", id: fmt.Sprintf("k%dm%dn%d", k, m, n), kind: kind, body: strings.Repeat("x", 200), quiet: true, who: "client"}
					switch kind {
					case "status-check":
						q.method, q.body = "GET", ""
						if s.trouble && rand.IntN(5) == 0 {
							q.cookie = "user=7f3a9c21e0b4d655; shop=" + strings.Repeat("c", longBytes)
						}
					case "id-register":
						q.key = "key-" + q.id
					}
					a := c.do(q)
					p.mu.Lock()
					p.verdicts = append(p.verdicts, verdict{time.Now(), a.status == 503 || a.status == 429})
					p.mu.Unlock()
					s.note("sidecar%d answers %s %s (cookie of %d bytes) with %d, err %v", k, kind, q.id, len(q.cookie), a.status, a.err)
				}
			}()
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for before := int64(0); ; {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if now := p.attempts.Load(); now != before {
					before = now
					p.mu.Lock()
					p.lastSeen = append(p.lastSeen, time.Now())
					p.mu.Unlock()
				}
			}
		}()
	}
	time.Sleep(length)
	close(stop)
	wg.Wait()
	rejecting := 0
	for k, p := range all {
		longest, count := longestRejection(p.verdicts, p.lastSeen)
		s.note("sidecar%d: %d requests, %d attempts came to servers; longest time in which it rejected all and made no attempt: %v, %d requests", k, len(p.verdicts), p.attempts.Load(), longest.Round(time.Millisecond), count)
		if longest >= 4*time.Second && count >= 15 {
			rejecting++
		}
	}
	if rejecting*10 > sidecars {
		s.broken("%d of %d sidecars rejected all that they got for over 4 s on end, with no attempt in between", rejecting, sidecars)
	}
}

// longestRejection returns the longest time in which all requests were rejected and no attempt was seen,
// and how many requests that were.
func longestRejection(verdicts []verdict, attempts []time.Time) (longest time.Duration, count int) {
	first, n := time.Time{}, 0
	a := 0
	for _, v := range verdicts {
		tried := false
		for a < len(attempts) && !attempts[a].After(v.at) {
			a, tried = a+1, true
		}
		if !v.rejected || tried {
			first, n = time.Time{}, 0
			if !v.rejected {
				continue
			}
		}
		if first.IsZero() {
			first = v.at
		}
		n++
		if d := v.at.Sub(first); d > longest {
			longest, count = d, n
		}
	}
	return longest, count
}
