// Command case3: bad clients stop in the middle of long heads and stay, and the sidecar goes over its
// limit of memory, for which the platform kills it.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/harness"
)

const (
	memoryMB = 64
	sockets  = 576
	bad      = 180      // connections of bad clients at a time
	headSent = 60 << 10 // bytes of a head that a bad client sends before it stops
	rate     = 40       // requests a second of the usual client
	servers  = 6
	badFrom  = 5 * time.Second
	runLasts = 40 * time.Second
)

// anonymousBytes returns how much memory of its own a process has resident: neither the pages of its
// program file nor what the system holds for its sockets.
func anonymousBytes(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	m := regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB$`).FindSubmatch(text)
	if m == nil {
		return 0
	}
	n, _ := strconv.ParseInt(string(m[1]), 10, 64)
	return n << 10
}

// badClient connects, sends the beginning of a head, stops and stays until it is answered or
// disconnected, and then does the same again.
func badClient(addr string, until time.Time, connected, answered, closed *atomic.Int64) {
	head := "GET /status-check HTTP/1.1\r\nHost: app.svc\r\n"
	head += strings.Repeat("a:\r\n", (headSent-len(head))/4)
	for time.Now().Before(until) {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		connected.Add(1)
		if _, err := io.WriteString(nc, head); err == nil {
			nc.SetReadDeadline(time.Now().Add(6 * time.Second))
			if _, err := bufio.NewReader(nc).ReadString('\n'); err == nil {
				answered.Add(1)
			} else {
				closed.Add(1)
			}
		}
		nc.Close()
	}
}

func main() {
	c := harness.New()
	var list []harness.Endpoint
	for n := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			c.Fatal("%v", err)
		}
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "answer to ", r.Header.Get("Req-Id"))
		}))
		list = append(list, harness.Endpoint{Name: fmt.Sprintf("s%d", n), Address: ln.Addr().String(), Zone: "jakarta", Type: "standard", Group: 1, Status: "up", Weight: 1})
	}
	s := c.Start(harness.SidecarConfig{Name: "n0", Discovery: c.Discovery(list), Settings: harness.Settings(1), Sockets: sockets, MemoryMB: memoryMB})
	c.WaitReady(s)
	start := time.Now()
	end := start.Add(runLasts)
	pid := s.Cmd.Process.Pid
	c.Say("%d MB of memory allowed; %.1f MB in use at the start", memoryMB, float64(anonymousBytes(pid))/(1<<20))

	// The platform: over memory_mb the sidecar is killed.
	var most atomic.Int64
	killed := make(chan time.Duration, 1)
	go func() {
		for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			n := anonymousBytes(pid)
			if n > most.Load() {
				most.Store(n)
			}
			if n > memoryMB<<20 {
				c.Say("OVER THE LIMIT: %.1f MB at %.2f s: killed by the platform", float64(n)/(1<<20), time.Since(start).Seconds())
				s.Cmd.Process.Signal(syscall.SIGKILL)
				killed <- time.Since(start)
				return
			}
		}
	}()

	var sent, served, rejected, lost, connected, answered, closed atomic.Int64
	var wg sync.WaitGroup
	if harness.Trouble() {
		time.AfterFunc(badFrom, func() {
			c.Line("%d bad clients begin", bad)
			for range bad {
				go badClient(s.Listen, end, &connected, &answered, &closed)
			}
		})
	}
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	var over time.Duration
	for n := 0; time.Now().Before(end) && over == 0; n++ {
		select {
		case over = <-killed:
		case <-s.Done:
			over = time.Since(start)
		default:
		}
		wg.Go(func() {
			id := fmt.Sprintf("n0-%05d", n)
			r, _ := http.NewRequest(http.MethodPost, "http://"+s.Listen+"/activate", strings.NewReader("card"))
			r.Header.Set("Req-Id", id)
			r.Header.Set("Req-Kind", "activate")
			r.Header.Set("Req-Deadline-Ms", "2500")
			sent.Add(1)
			resp, err := client.Do(r)
			if err != nil {
				lost.Add(1)
				c.Line("%s has no answer: %v", id, err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				served.Add(1)
			} else {
				rejected.Add(1)
			}
		})
		time.Sleep(time.Second / rate)
	}
	wg.Wait()
	c.Say("usual client: %d requests, %d served, %d refused or failed, %d without an answer", sent.Load(), served.Load(), rejected.Load(), lost.Load())
	c.Say("bad clients: %d connections, %d answered, %d closed", connected.Load(), answered.Load(), closed.Load())
	c.Say("at most %.1f MB in use of %d MB", float64(most.Load())/(1<<20), memoryMB)
	if over > 0 {
		c.Exit(harness.Broken)
	}
	if served.Load() < 500 {
		c.Fatal("too few were served")
	}
	c.Exit(harness.Held)
}
