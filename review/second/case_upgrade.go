package main

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["upgrade"] = caseUpgrade }

// caseUpgrade: run is started again while the old process serves, with [config] on and its folder in
// $TMPDIR.
func caseUpgrade(s *site) {
	var servers []*server
	for n := range 4 {
		servers = append(servers, s.server(fmt.Sprintf("s%d", n+1), nil))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "clients' socket")
	socket, err := ln.(*net.TCPListener).File()
	s.must(err, "clients' socket")
	listen, discovery := ln.Addr().String(), s.discovery(servers)
	null, err := os.Open(os.DevNull)
	s.must(err, "null")
	own := s.features("version = 1\n[config]\nenabled = true\nfolder = \"" + s.folder("tmpdir/history") + "\"\n")
	config := s.configure("config.json", listen, discovery, classes(), servers)
	begin := func(name, management string) *process {
		return s.start(name, []*os.File{null, null, socket}, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own, "BALANCER_FD=5", "BALANCER_MANAGEMENT="+management)
	}
	first := s.freeAddr()
	old := begin("old", first)
	s.awaitReady(listen)

	c := &client{s, listen}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(40 * time.Millisecond):
			}
			c.do(request{method: "GET", path: "/status-check/8962", id: fmt.Sprintf("g%d", n), kind: "status-check", who: "client"})
		}
	}()
	time.Sleep(2 * time.Second)
	if s.trouble {
		second := s.freeAddr()
		next := begin("new", second)
		began, yes := time.Now(), false
		for !yes && !next.hasEnded() && time.Since(began) < 6*time.Second {
			time.Sleep(100 * time.Millisecond)
			answer := s.call(second, "READY")
			yes = strings.HasPrefix(answer, "YES")
			s.note("READY at the new process: %q", answer)
		}
		switch {
		case next.hasEnded():
			s.broken("the new process ended after %v (%v), before any yes", time.Since(began).Round(time.Millisecond), next.err)
		case !yes:
			s.broken("the new process has not said yes within 6 s")
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	if old.hasEnded() {
		s.broken("the old process ended")
	}
}
