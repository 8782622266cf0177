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

// TestMain runs a stand-in server if LOAD_SERVER is set, and the tests otherwise. Benchmarks start
// the server in a process of its own, so that the CPU time of theirs is that of the generator
// alone.
func TestMain(m *testing.M) {
	if os.Getenv("LOAD_SERVER") == "" {
		os.Exit(m.Run())
	}
	server, err := standin.NewServer(standin.ServerConfig{Name: "s"})
	if err != nil {
		panic(err)
	}
	fmt.Println(server.Addr())
	io.Copy(io.Discard, os.Stdin) // until the parent closes the pipe
}

// startServerProcess starts a server process for a benchmark and returns its address.
func startServerProcess(b *testing.B) (addr string) {
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

// BenchmarkRate reports the highest rate of calls per second that one core sends with a p99 delay
// under 1 ms, and the CPU time per call, compared with a closed loop of 16 connections.
// go test ./internal/load -run '^$' -bench Rate -benchtime 1x
func BenchmarkRate(b *testing.B) {
	addr := startServerProcess(b)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	best, cost := 0.0, 0.0
	for rate := 2000.0; rate <= 64000; rate *= 1.2 {
		good := 0
		for range 3 { // a single delay caused by the machine does not count
			scenario := constantLoad(rate, 2*time.Second)
			scenario.Poisson = true
			scenario.Classes = DefaultClasses()
			scenario.Limits.Connections, scenario.Limits.Outstanding = 256, 4096
			cfg, closeSource, err := scenario.Configure(Config{Protocol: &HTTP1{Addr: addr}})
			if err != nil {
				b.Fatal(err)
			}
			report, err := Run(b.Context(), cfg)
			closeSource()
			if err != nil {
				b.Fatal(err)
			}
			b.Logf("%.0f calls per second: p99 send delay of %.2f ms, %d dropped, %.1f us of CPU per call; %s", rate, report.SendDelay.P99, report.Dropped, 1e6*report.CPU/float64(max(report.Sent, 1)), report.Verdict())
			if report.SendDelay.P99 < 1 && report.Dropped == 0 {
				good++
				cost = 1e6 * report.CPU / float64(report.Sent)
			}
		}
		if good < 2 {
			break
		}
		best = rate
	}
	classes := DefaultClasses()
	var wg sync.WaitGroup
	before, began := processCPU(), time.Now()
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
	b.ReportMetric(float64((processCPU()-before).Microseconds())/float64(calls), "closed-us-CPU/call")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStall freezes a server for two seconds, over real sockets, and logs the reported
// percentiles beside those calculated from the schedule.
// go test ./internal/load -run '^$' -bench Stall -benchtime 1x
func BenchmarkStall(b *testing.B) {
	server, err := standin.NewServer(standin.ServerConfig{Name: "s", Script: standin.Always(standin.Action{Delay: 10 * time.Millisecond})})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	scenario := constantLoad(200, 12*time.Second)
	scenario.Classes[0].Deadline = duration.Duration(20 * time.Second)
	scenario.Arrivals = []schedule.Shape{{Kind: "constant", Rate: 200}}
	cfg, closeSource, err := scenario.Configure(Config{Protocol: &HTTP1{Addr: server.Addr()}})
	if err != nil {
		b.Fatal(err)
	}
	defer closeSource()
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
	report, err := Run(b.Context(), cfg)
	if err != nil {
		b.Fatal(err)
	}
	var want []time.Duration
	for arrivals := scenario.plan().Arrivals(); ; {
		at, ok := arrivals.Next()
		if !ok {
			break
		}
		took := 10 * time.Millisecond
		if due := began.Add(at); due.After(frozen.Add(-took)) && due.Before(thawed) {
			took = max(took, thawed.Sub(due)) // calls in progress when it freezes wait too
			if due.After(frozen) {
				took = thawed.Sub(due) + 10*time.Millisecond
			}
		}
		want = append(want, took)
	}
	for n, p := range reportedPercentiles {
		b.Logf("p%v: %.1f ms reported, %.1f ms calculated, naive %.1f ms", p, *report.Latency.byIndex(n), exactPercentile(want, p), *report.Naive.byIndex(n))
	}
	b.Log(report.Verdict())
}
