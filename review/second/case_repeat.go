package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["repeat"] = caseRepeat }

// caseRepeat: a bad client sends the id of another client's open request, and the same again as soon as
// it is turned away. A route sends the class to a pool.
func caseRepeat(s *site) {
	act := func(string, string) (time.Duration, ending) { return 300 * time.Millisecond, answers }
	platform := []*server{s.server("s1", act), s.server("s2", act)}
	counters := []*server{s.server("c1", act), s.server("c2", act), s.server("c3", act)}
	text := "version = 1\n[[pools]]\nname = \"counter\"\nservers = [\n"
	for _, v := range counters {
		text += fmt.Sprintf("  { name = %q, address = %q },\n", v.name, v.addr)
	}
	own := s.features(text + "]\n[[routes]]\nname = \"counter\"\nprefixes = [\"/activate\"]\npool = \"counter\"\n")
	discovery, listen := s.discovery(platform), s.freeAddr()
	config := s.configure("config.json", listen, discovery, classes(), platform)
	s.start("sidecar", nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
	s.awaitReady(listen)

	all := append(append([]*server{}, platform...), counters...)
	c := &client{s, listen}
	const calls = 10
	twice, served := 0, 0
	for n := range calls {
		q := request{method: "POST", path: "/activate/8962", id: fmt.Sprintf("9b1f03aa5c7e2d%02d", n), kind: "activate", body: strings.Repeat("x", 200)}
		var wg sync.WaitGroup
		wg.Add(1)
		go func() {
			defer wg.Done()
			usual := q
			usual.who = "client"
			c.do(usual)
		}()
		if s.trouble {
			time.Sleep(50 * time.Millisecond)
			bad := q
			bad.who = "bad client"
			for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if a := c.do(bad); a.status == 200 {
					served++
					break
				}
			}
		}
		wg.Wait()
		time.Sleep(200 * time.Millisecond)
		if ran := timesRun(all, q.id); ran > 1 {
			twice++
			s.note("%s ran %d times", q.id, ran)
		}
	}
	if twice+served > 0 {
		s.broken("%d of %d requests of activate ran twice, and the bad client was served %d times", twice, calls, served)
	}
}
