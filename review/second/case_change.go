package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["change"] = caseChange }

// caseChange: a class becomes 'once' by a new configuration and SIGHUP, which the sidecar applies and
// keeps. Then connections are reset under requests that have run. Without trouble the sidecar is
// started with the new configuration.
func caseChange(s *site) {
	var resetting atomic.Bool
	var count atomic.Int64
	act := func(id, class string) (time.Duration, ending) {
		if resetting.Load() && class == "id-register" && count.Add(1)%3 == 1 {
			return 20 * time.Millisecond, resets
		}
		return 20 * time.Millisecond, answers
	}
	var platform, registry []*server
	for n := range 3 {
		platform = append(platform, s.server(fmt.Sprintf("s%d", n+1), act))
	}
	text := "version = 1\n[config]\nenabled = true\nfolder = \"" + s.folder("history") + "\"\nbake = \"2s\"\n[[pools]]\nname = \"registry\"\nservers = [\n"
	for n := range 3 {
		v := s.server(fmt.Sprintf("r%d", n+1), act)
		registry = append(registry, v)
		text += fmt.Sprintf("  { name = %q, address = %q },\n", v.name, v.addr)
	}
	text += "]\n[[routes]]\nname = \"register\"\nprefixes = [\"/id-register\"]\npool = \"registry\"\n"
	own := s.features(text)
	all := append(append([]*server{}, platform...), registry...)

	listen, discovery := s.freeAddr(), s.discovery(platform)
	before, after := classes(), classes()
	after[1].effect = "once"
	first := before
	if !s.trouble {
		first = after
	}
	config := s.configure("config.json", listen, discovery, first, platform)
	p := s.start("sidecar", nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
	s.awaitReady(listen)

	c := &client{s, listen}
	send := func(id, kind, key string) answer {
		method, body := "POST", strings.Repeat("x", 200)
		if kind == "status-check" {
			method, body = "GET", ""
		}
		return c.do(request{method: method, path: "/" + kind + "/8962", id: id, kind: kind, key: key, body: body, who: "client"})
	}
	inForce := "1"
	if s.trouble {
		for n := range 5 {
			send(fmt.Sprintf("a%d", n), "id-register", fmt.Sprintf("key-a%d", n))
		}
		time.Sleep(time.Second)
		s.configure("config.json", listen, discovery, after, platform)
		s.note("the class id-register is once in the new configuration; SIGHUP")
		p.cmd.Process.Signal(syscall.SIGHUP)
		inForce = "2"
	}
	// The configuration is in force once every answer says so for longer than a trial.
	since := time.Time{}
	for n, end := 0, time.Now().Add(20*time.Second); ; n++ {
		a := send(fmt.Sprintf("b%d", n), "status-check", "")
		switch now := time.Now(); {
		case a.header.Get("Fawn-Config") != inForce:
			since = time.Time{}
		case since.IsZero():
			since = now
		case now.Sub(since) > 4*time.Second:
			s.note("configuration %s is in force", inForce)
			end = time.Time{}
		}
		if end.IsZero() {
			break
		}
		if time.Now().After(end) {
			s.must(fmt.Errorf("answers don't name configuration %s", inForce), "change")
		}
		time.Sleep(50 * time.Millisecond)
	}
	resetting.Store(true)
	const calls = 60
	twice := 0
	for n := range calls {
		id := fmt.Sprintf("c%d", n)
		send(id, "id-register", "")
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for n := range calls {
		id := fmt.Sprintf("c%d", n)
		if ran := timesRun(all, id); ran > 1 {
			twice++
			s.note("%s ran %d times", id, ran)
		}
	}
	if twice > 0 {
		s.broken("%d of %d requests of a class that must run once ran twice", twice, calls)
	}
}
