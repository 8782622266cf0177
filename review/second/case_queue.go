package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["queue"] = caseQueue }

// caseQueue: a pool has a queue, and more calls come than it has places for. Clients leave when their time
// is up, as calls that wait in the queue are given up. Without trouble they stay for half a second more.
func caseQueue(s *site) {
	const (
		sidecars = 3
		clients  = 125 // of each sidecar
		length   = 100 * time.Second
	)
	s.cores = 2
	// Work is distributed exponentially, as the site's (`dist = ["exp", "lognormal"]`).
	act := func(string, string) (time.Duration, ending) {
		return time.Duration(rand.ExpFloat64() * float64(30*time.Millisecond)), answers
	}
	var servers []*server
	for n := range 4 {
		servers = append(servers, s.server(fmt.Sprintf("s%d", n+1), act))
	}
	discovery := s.discovery(servers)
	own := s.features(fmt.Sprintf("version = 1\n[[pools]]\nname = \"counter\"\ndiscovery = %q\nmax_active = 4\nmax_waiting = 200\nqueue_wait = \"1s\"\n[[routes]]\nname = \"counter\"\nprefixes = [\"/activate\"]\npool = \"counter\"\n", discovery))
	var listens []string
	var processes []*process
	ended := make(chan struct{})
	var once sync.Once
	for k := range sidecars {
		listen := s.freeAddr()
		config := s.configure(fmt.Sprintf("config%d.json", k), listen, discovery, classes(), servers)
		p := s.start(fmt.Sprintf("sidecar%d", k), nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
		s.awaitReady(listen)
		go func() {
			<-p.done
			once.Do(func() { close(ended) })
		}()
		listens, processes = append(listens, listen), append(processes, p)
	}
	began := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, answered, left, refused atomic.Int64
	for k := range sidecars * clients {
		listen := listens[k%sidecars]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ended:
					return
				case <-time.After(time.Duration(rand.IntN(160)) * time.Millisecond):
				}
				wait := time.Duration(40+rand.IntN(60)) * time.Millisecond
				conn, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					refused.Add(1)
					continue
				}
				fmt.Fprintf(conn, "POST /activate/8962 HTTP/1.1\r\nHost: app.svc\r\nReq-Id: k%dn%d\r\nReq-Kind: activate\r\nReq-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody", k, n, wait.Milliseconds())
				sent.Add(1)
				if !s.trouble {
					wait += 500 * time.Millisecond
				}
				conn.SetReadDeadline(time.Now().Add(wait))
				if _, err := conn.Read(make([]byte, 512)); err != nil {
					left.Add(1)
				} else {
					answered.Add(1)
				}
				conn.Close()
			}
		}()
	}
	// A few clients stay for their answer, up to half a second after their time.
	var lost atomic.Int64
	for k := range 4 * sidecars {
		listen := listens[k%sidecars]
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{s, listen}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ended:
					return
				case <-time.After(200 * time.Millisecond):
				}
				q := request{method: "POST", path: "/activate/8962", id: fmt.Sprintf("patient%dn%d", k, n), kind: "activate", body: "body", deadline: time.Second, slack: 500 * time.Millisecond, quiet: true}
				if a := c.do(q); a.err != nil && !hasEnded(ended) {
					lost.Add(1)
					s.note("%s has no answer: %v", q.id, a.err)
				}
			}
		}()
	}
	select {
	case <-ended:
	case <-time.After(length):
	}
	took := time.Since(began)
	close(stop)
	wg.Wait()
	s.note("%d requests were sent to %d sidecars in %v, %.0f a second to each: %d got an answer, %d clients left without one, %d found nobody listening", sent.Load(), sidecars, took.Round(time.Millisecond), float64(sent.Load())/took.Seconds()/sidecars, answered.Load(), left.Load(), refused.Load())
	if n := lost.Load(); n > 0 && !hasEnded(ended) {
		s.broken("%d requests of clients that waited had no answer", n)
	}
	for k, p := range processes {
		if p.hasEnded() {
			s.broken("sidecar%d ended after %v: %v", k, took.Round(time.Millisecond), p.err)
		}
	}
}

func hasEnded(ended chan struct{}) bool {
	select {
	case <-ended:
		return true
	default:
		return false
	}
}
