package rig_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// maxAttemptAfterClose is how long after its client's close an attempt may begin.
const maxAttemptAfterClose = 100 * time.Millisecond

// Guards against requests that are sent on after their client has closed its connection with much
// unread: requests that it sent ahead, and answers that it has not read. Some clients reset the
// connection.
func TestRequestsOfDepartedClientsAreNotSentOn(t *testing.T) {
	const clients, ahead = 60, 200
	site, daemon := startSiteProcess(t, rig.SiteConfig{Servers: 4, Classes: rig.LongDeadlineClasses(), NoHedge: true,
		Server: standin.ServerConfig{Script: standin.Always(standin.Action{Kind: standin.Serve, Delay: 20 * time.Millisecond, Body: strings.Repeat("a", 2000)})}})
	var mu sync.Mutex
	closedAt := make(map[string]time.Time)
	random := rand.New(rand.NewPCG(1, 1))
	var wg sync.WaitGroup
	for n := range clients {
		stay, resets, sendsAhead := time.Duration(random.IntN(300))*time.Millisecond, n%2 == 0, []int{1, 15, 40, ahead}[n/2%4]
		wg.Go(func() {
			conn, err := net.Dial("tcp", daemon.Addr)
			if err != nil {
				t.Error(err)
				return
			}
			var requests strings.Builder
			for k := range sendsAhead {
				fmt.Fprintf(&requests, "POST /activate HTTP/1.1\r\nHost: h\r\nReq-Id: left-%d-%d\r\nContent-Length: 4\r\n\r\ncard", n, k)
			}
			io.WriteString(conn, requests.String())
			time.Sleep(stay)
			if resets {
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
			at := time.Now()
			mu.Lock()
			defer mu.Unlock()
			for k := range sendsAhead {
				closedAt[fmt.Sprintf("left-%d-%d", n, k)] = at
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	wakeups, worst := 0, time.Duration(0)
	for _, arrival := range site.Ledger.Arrivals() {
		if after := arrival.At.Sub(closedAt[arrival.ID]); after > 0 {
			worst = max(worst, after)
			wakeups++
		}
	}
	t.Logf("%d attempts in all, %d after their client's close, the latest by %v", len(site.Ledger.Arrivals()), wakeups, worst)
	if worst > maxAttemptAfterClose {
		t.Errorf("an attempt began %v after its client's close, want %v at most", worst, maxAttemptAfterClose)
	}
}
