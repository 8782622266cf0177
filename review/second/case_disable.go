package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["disable"] = caseDisable }

// caseDisable: an operator takes a server out by hand. A route sends one class to a pool that follows
// the same discovery.
func caseDisable(s *site) {
	var servers []*server
	for n := range 4 {
		servers = append(servers, s.server(fmt.Sprintf("s%d", n+1), func(string, string) (time.Duration, ending) { return 20 * time.Millisecond, answers }))
	}
	discovery, listen, management := s.discovery(servers), s.freeAddr(), s.freeAddr()
	own := s.features(fmt.Sprintf("version = 1\n[[pools]]\nname = \"counter\"\ndiscovery = %q\nmax_active = 16\nmax_waiting = 32\n[[routes]]\nname = \"counter\"\nprefixes = [\"/activate\"]\npool = \"counter\"\n", discovery))
	config := s.configure("config.json", listen, discovery, classes(), servers)
	s.start("sidecar", nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own, "BALANCER_MANAGEMENT="+management)
	s.awaitReady(listen)

	c := &client{s, listen}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for _, kind := range []string{"activate", "status-check"} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(40 * time.Millisecond):
				}
				q := request{method: "POST", path: "/" + kind + "/8962", id: fmt.Sprintf("%s-%d", kind, n), kind: kind, body: strings.Repeat("x", 200), who: "client"}
				if kind == "status-check" {
					q.method, q.body = "GET", ""
				}
				c.do(q)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	// The server that has run the most requests of the pool's class so far.
	out, most := servers[0], 0
	for _, v := range servers {
		n := 0
		v.mu.Lock()
		for id := range v.runs {
			if strings.HasPrefix(id, "activate") {
				n++
			}
		}
		v.mu.Unlock()
		s.note("%s has run %d requests of activate", v.name, n)
		if n > most {
			out, most = v, n
		}
	}
	yes := time.Time{}
	if s.trouble {
		answer := s.call(management, "DISABLE "+out.name)
		yes = time.Now()
		s.note("DISABLE %s is answered %q", out.name, answer)
		if !strings.HasPrefix(answer, "YES") {
			s.must(fmt.Errorf("answered %q", answer), "DISABLE")
		}
	}
	time.Sleep(7 * time.Second)
	close(stop)
	wg.Wait()
	if yes.IsZero() {
		return
	}
	// The grace, the slack on sockets, and what a sidecar may be held up for.
	limit := drainGrace + 50*time.Millisecond + 150*time.Millisecond
	late, last, ids := 0, time.Duration(0), ""
	out.mu.Lock()
	for _, a := range out.firstBytes {
		if after := a.at.Sub(yes); after > limit {
			late, last, ids = late+1, after, a.id
		}
	}
	out.mu.Unlock()
	if late > 0 {
		s.broken("%d requests began at %s more than %v after the yes to DISABLE, the last one (%s) %v after it", late, out.name, limit, ids, last.Round(time.Millisecond))
	}
}
