package rig_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

const (
	longHeadBytes   = 60 << 10 // of a head that a bad client sends
	longHeadClients = 180      // bad clients at a time
	longHeadPeriod  = 4 * time.Second
)

var activateClass = standin.Class{Name: "activate", Effect: standin.Unsafe}

// longHeadFields returns the fields of a long head, by their kind.
func longHeadFields() map[string]string {
	var names strings.Builder
	for n := 0; names.Len() < longHeadBytes; n++ {
		fmt.Fprintf(&names, "%x:\r\n", n)
	}
	return map[string]string{
		"many fields":      strings.Repeat("a:\r\n", longHeadBytes/4),
		"many field names": names.String(),
		"few fields":       strings.Repeat("a: "+strings.Repeat("x", 6000)+"\r\n", longHeadBytes/6005),
	}
}

// badRequest is how a bad client ends a request whose head is long.
type badRequest struct {
	name, end string
	isWhole   bool
}

var badRequests = []badRequest{
	{"stops in the head", "", false},
	{"stops in the body", "Content-Length: 9\r\n\r\n", false},
	{"whole", "Content-Length: 2\r\n\r\nhi", true},
}

// sendBadRequest sends one request with a long head and waits for its answer or the end of its
// connection. It returns how long that took after the client had connected, 0 if it could not
// connect.
func sendBadRequest(addr, id, fields string, kind badRequest) time.Duration {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return 0
	}
	defer conn.Close()
	began := time.Now()
	conn.SetDeadline(began.Add(testTimeout))
	// A write that fails is a close by the daemon, which the read reports too.
	io.WriteString(conn, "POST /id-register HTTP/1.1\r\nHost: app\r\nReq-Id: "+id+"\r\nIdempotency-Key: "+id+"\r\n"+fields+kind.end)
	io.ReadFull(conn, make([]byte, 1))
	return time.Since(began)
}

// maxDuration is the longest of the durations that several goroutines add.
type maxDuration struct {
	mu      sync.Mutex
	longest time.Duration
}

func (m *maxDuration) add(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest = max(m.longest, d)
}

func (m *maxDuration) get() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest
}

// anonymousBytes returns the memory that a process has of its own, 0 where it cannot be read.
func anonymousBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "RssAnon:")
	kibibytes := int64(0)
	fmt.Sscanf(strings.TrimSpace(rest), "%d", &kibibytes)
	return kibibytes << 10
}

// Guards against bad clients whose long heads take the sidecar over its limit of memory, at which
// the platform kills it: at each limit, with each kind of head, on the platform's listener and on a
// further one. The usual clients of both are served meanwhile.
func TestLongHeadsWithinMemoryLimit(t *testing.T) {
	binary, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	for _, memoryMB := range []int{32, 64, 192} {
		for name, fields := range longHeadFields() {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, name), func(t *testing.T) {
				runLongHeads(t, binary, memoryMB, fields)
			})
		}
	}
}

func runLongHeads(t *testing.T, binary string, memoryMB int, fields string) {
	site, err := rig.NewSite(rig.SiteConfig{Servers: 6, Classes: rig.LongDeadlineClasses(), NoHedge: true, MemoryMB: memoryMB, MaxSockets: 576,
		Server: standin.ServerConfig{Script: standin.Always(standin.Action{Kind: standin.Serve, Delay: 200 * time.Millisecond})}})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	furtherAddress := unusedAddress(t)
	d, err := site.StartProcess(binary, 1, fmt.Sprintf("version = 1\n[[listeners]]\nname = \"further\"\naddress = %q\n", furtherAddress))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	ctx, cancel := context.WithTimeout(t.Context(), longHeadPeriod)
	defer cancel()
	var wg sync.WaitGroup
	var ended, stuck atomic.Int64
	var longest maxDuration
	for n := range longHeadClients {
		addr, kind := d.Addr, badRequests[n/2%len(badRequests)]
		if n%2 == 1 {
			addr = furtherAddress
		}
		wg.Go(func() {
			for k := 0; ctx.Err() == nil; k++ {
				took := sendBadRequest(addr, fmt.Sprintf("bad-%d-%d", n, k), fields, kind)
				switch {
				case took >= testTimeout:
					stuck.Add(1)
				case took > 0:
					ended.Add(1)
				}
				if !kind.isWhole {
					longest.add(took)
				}
			}
		})
	}
	for n, addr := range []string{d.Addr, furtherAddress} {
		wg.Go(func() {
			client := standin.NewClient(addr)
			defer client.Close()
			for k := 0; ctx.Err() == nil; k++ {
				if r := client.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprintf("usual-%d-%d", n, k), Class: activateClass, Body: "card"}); r.Verdict() != "served" {
					t.Errorf("listener %d: usual call %d: %s, %v", n, k, r.Verdict(), r.Err)
				}
			}
		})
	}
	most := int64(0)
	for pid := d.Pid(); ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		most = max(most, anonymousBytes(pid))
	}
	wg.Wait()
	t.Logf("%d bad requests ended, incomplete ones after %v at most; at most %.1f MB of %d in use", ended.Load(), longest.get().Round(time.Millisecond), float64(most)/(1<<20), memoryMB)
	switch {
	case most == 0:
		t.Error("the daemon's memory cannot be read")
	case most > int64(memoryMB)<<20:
		t.Errorf("%d KB in use, %d MB are allowed", most>>10, memoryMB)
	}
	if stuck.Load() > 0 {
		t.Errorf("%d bad clients had neither an answer nor a close", stuck.Load())
	}
}
