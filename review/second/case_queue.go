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
		clients = 125
		length  = 100 * time.Second
	)
	s.cores = 2
	act := func(string, string) (time.Duration, ending) { return 30 * time.Millisecond, answers }
	var servers []*server
	for n := range 4 {
		servers = append(servers, s.server(fmt.Sprintf("s%d", n+1), act))
	}
	discovery, listen := s.discovery(servers), s.freeAddr()
	own := s.features(fmt.Sprintf("version = 1\n[[pools]]\nname = \"counter\"\ndiscovery = %q\nmax_active = 4\nmax_waiting = 200\nqueue_wait = \"1s\"\n[[routes]]\nname = \"counter\"\nprefixes = [\"/activate\"]\npool = \"counter\"\n", discovery))
	config := s.configure("config.json", listen, discovery, classes(), servers)
	p := s.start("sidecar", nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
	s.awaitReady(listen)
	began := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var sent, answered, left, refused atomic.Int64
	for k := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-p.done:
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
	select {
	case <-p.done:
	case <-time.After(length):
	}
	took := time.Since(began)
	close(stop)
	wg.Wait()
	s.note("%d requests were sent in %v, %.0f a second: %d got an answer, %d clients left without one, %d found nobody listening", sent.Load(), took.Round(time.Millisecond), float64(sent.Load())/took.Seconds(), answered.Load(), left.Load(), refused.Load())
	if p.hasEnded() {
		s.broken("the sidecar ended after %v: %v", took.Round(time.Millisecond), p.err)
	}
}
