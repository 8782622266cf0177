package load

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/duration"
	"chalkrack/internal/load/schedule"
	"chalkrack/internal/standin"
)

// TestMain is also the server of a benchmark, in a process of its own: the generator's
// CPU is then what this one uses.
func TestMain(m *testing.M) {
	if os.Getenv("LOAD_SERVER") == "" {
		os.Exit(m.Run())
	}
	server, err := standin.NewServer(standin.ServerConfig{Name: "s"})
	if err != nil {
		panic(err)
	}
	fmt.Println(server.Addr())
	io.Copy(io.Discard, os.Stdin) // until its parent ends it
}

func serverProcess(b *testing.B) (addr string) {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "LOAD_SERVER=1")
	in, _ := cmd.StdinPipe()
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { in.Close(); cmd.Wait() })
	if _, err := fmt.Fscanln(bufio.NewReader(out), &addr); err != nil {
		b.Fatal(err)
	}
	return addr
}

// BenchmarkRate is the most calls a second that one core sends with less than 1 ms of
// lateness at p99, and the CPU of a call, beside a naive closed loop of 16 connections.
// go test ./internal/load -run '^$' -bench Rate -benchtime 1x
func BenchmarkRate(b *testing.B) {
	addr := serverProcess(b)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	best, cost := 0.0, 0.0
	for rate := 2000.0; rate <= 64000; rate *= 1.2 {
		good := 0
		for range 3 { // one hiccup of the machine's is not the generator's
			s := constant(rate, 2*time.Second)
			s.Poisson = true
			s.Classes = Activation()
			s.Limits.Connections, s.Limits.Outstanding = 256, 4096
			cfg, end, err := s.Run(Config{Protocol: &HTTP1{Addr: addr}})
			if err != nil {
				b.Fatal(err)
			}
			rep, err := Run(b.Context(), cfg)
			end()
			if err != nil {
				b.Fatal(err)
			}
			b.Logf("%.0f calls a second: late by %.2f ms at p99, %d dropped, %.1f us of CPU a call; %s", rate, rep.Lag.P99, rep.Dropped, 1e6*rep.CPU/float64(max(rep.Sent, 1)), rep.Verdict())
			if rep.Lag.P99 < 1 && rep.Dropped == 0 {
				good++
				cost = 1e6 * rep.CPU / float64(rep.Sent)
			}
		}
		if good < 2 {
			break
		}
		best = rate
	}
	classes := Activation()
	var wg sync.WaitGroup
	before, began := cpu(), time.Now()
	var mu sync.Mutex
	calls := 0
	for g := range 16 {
		wg.Go(func() {
			conn, err := (&HTTP1{Addr: addr}).Dial(time.Now().Add(time.Minute))
			if err != nil {
				b.Error(err)
				return
			}
			defer conn.Close()
			n := 0
			for ; time.Since(began) < 3*time.Second; n++ {
				if _, err := conn.Do(&Call{ID: fmt.Sprintf("c%d-%d", g, n), Class: &classes[0], Deadline: time.Now().Add(time.Minute)}); err != nil {
					b.Error(err)
					return
				}
			}
			mu.Lock()
			calls += n
			mu.Unlock()
		})
	}
	wg.Wait()
	b.ReportMetric(best, "calls/s-a-core")
	b.ReportMetric(cost, "us-CPU/call")
	b.ReportMetric(float64(calls)/time.Since(began).Seconds(), "closed-calls/s-a-core")
	b.ReportMetric(float64((cpu()-before).Microseconds())/float64(calls), "closed-us-CPU/call")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStall freezes a server for two seconds on real sockets and sets the reported
// percentiles beside those worked out from the schedule.
// go test ./internal/load -run '^$' -bench Stall -benchtime 1x
func BenchmarkStall(b *testing.B) {
	server, err := standin.NewServer(standin.ServerConfig{Name: "s", Script: standin.Always(standin.Act{Delay: 10 * time.Millisecond})})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	s := constant(200, 12*time.Second)
	s.Classes[0].Deadline = duration.Duration(20 * time.Second)
	s.Arrivals = []schedule.Shape{{Kind: "constant", Rate: 200}}
	cfg, end, err := s.Run(Config{Protocol: &HTTP1{Addr: server.Addr()}})
	if err != nil {
		b.Fatal(err)
	}
	defer end()
	var frozen, thawed time.Time
	began := time.Now().Add(10 * time.Millisecond)
	go func() {
		time.Sleep(4 * time.Second)
		server.Freeze()
		frozen = time.Now()
		time.Sleep(2 * time.Second)
		thawed = time.Now()
		server.Thaw()
	}()
	rep, err := Run(b.Context(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	var want []time.Duration
	for a := s.plan().Arrivals(); ; {
		at, ok := a.Next()
		if !ok {
			break
		}
		took := 10 * time.Millisecond
		if due := began.Add(at); due.After(frozen.Add(-took)) && due.Before(thawed) {
			took = max(took, thawed.Sub(due)) // what is at work when it freezes waits too
			if due.After(frozen) {
				took = thawed.Sub(due) + 10*time.Millisecond
			}
		}
		want = append(want, took)
	}
	for n, p := range quantileList {
		b.Logf("p%v: %.1f ms reported, %.1f ms worked out, naive %.1f ms", p, *rep.Latency.at(n), exact(want, p), *rep.Naive.at(n))
	}
	b.Log(rep.Verdict())
}
