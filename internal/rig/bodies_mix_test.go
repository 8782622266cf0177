package rig_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// mixSize returns the number of bodies in the mix and their maximum length. FAWN_BODIES=N,BYTES
// sets both.
func mixSize() (count, maxBytes int) {
	count, maxBytes = 120, 4<<20
	if a, b, ok := strings.Cut(os.Getenv("FAWN_BODIES"), ","); ok {
		count, _ = strconv.Atoi(a)
		maxBytes, _ = strconv.Atoi(b)
	}
	return count, maxBytes
}

// Guards against errors when bodies fill memory and disk while servers fail, with a seeded mix of
// the three classes. Each body that a server received whole is as sent, no unsafe or keyed request
// takes effect twice, a body that was not kept is sent at most once, and nothing is held at the
// end.
func TestMixedBodiesFillMemoryAndDisk(t *testing.T) {
	count, maxBytes := mixSize()
	socket := filepath.Join(t.TempDir(), "s")
	site, daemon := startSite(t, 6, bodyFeatures(t.TempDir(), socket))
	setScript(site, standin.Random(7,
		standin.WeightedAction{Probability: 0.1, Action: standin.Action{Kind: standin.ResetLate}},
		standin.WeightedAction{Probability: 0.1, Action: standin.Action{Kind: standin.Fail}},
		standin.WeightedAction{Probability: 0.1, Action: standin.Action{Kind: standin.Decline}},
		standin.WeightedAction{Probability: 0.1, Action: standin.Action{Kind: standin.ResetEarly, Delay: 5 * time.Millisecond}},
		standin.WeightedAction{Probability: 0.6, Action: standin.Action{Delay: 30 * time.Millisecond}}))
	classes := []string{"status-check", "id-register", "activate"}
	type sentBody struct {
		class   string
		size    int
		sum     [32]byte
		outcome string
	}
	sentBodies := make([]sentBody, count)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 40)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range count {
		// The sizes' logarithm is uniform: as many bodies of 1 to 10 KiB as of 10 to 100 KiB.
		size := 1024
		for f := rng.Float64(); f > 0 && size < maxBytes; f -= 1 / math.Log2(float64(maxBytes)/1024) {
			size *= 2
		}
		size = min(size+rng.IntN(1024), maxBytes)
		sentBodies[i] = sentBody{class: classes[rng.IntN(3)], size: size}
		chunked := rng.IntN(3) == 0
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			content := randomBytes(uint64(i), size)
			sentBodies[i].sum = sha256.Sum256(content)
			length := int64(size)
			if chunked {
				length = -1
			}
			status, _, err := postBody(daemon.Addr, sentBodies[i].class, fmt.Sprintf("m%d", i), bytes.NewReader(content), length)
			sentBodies[i].outcome = map[int]string{200: "served", 502: "failed", 503: "refused"}[status]
			if sentBodies[i].outcome == "" {
				t.Errorf("body %d of %d bytes: status %d, %v, want 200, 502 or 503", i, size, status, err)
			}
		})
	}
	wg.Wait()
	view := waitUntilEmpty(t, socket)
	for _, a := range site.Ledger.Arrivals() {
		i, err := strconv.Atoi(strings.TrimPrefix(a.ID, "m"))
		if err != nil || a.BodySize != int64(sentBodies[i].size) || a.BodyHash != sentBodies[i].sum {
			t.Errorf("request %s: %d bytes arrived that differ from those sent", a.ID, a.BodySize)
		}
	}
	outcomes := make(map[string]map[string]int)
	for i, s := range sentBodies {
		c := site.Ledger.RequestCount(fmt.Sprintf("m%d", i))
		if c.Effects > 1 && s.class != "status-check" {
			t.Errorf("body %d of class %s took effect %d times", i, s.class, c.Effects)
		}
		if s.size > 2<<20+1024 && c.Attempts > 1 {
			t.Errorf("body %d of %d bytes was not kept and arrived %d times", i, s.size, c.Attempts)
		}
		if outcomes[s.class] == nil {
			outcomes[s.class] = make(map[string]int)
		}
		outcomes[s.class][s.outcome]++
	}
	for _, c := range view.Classes {
		recorded := c.Memory + c.File + c.NotKept + c.Refused
		t.Logf("%s: %d bodies: memory %d, file %d, not kept %d, refused for lack of space %d; moved from memory to a file %d; retried %d from memory, %d from a file; not kept and refused %d, failed %d; outcomes %v",
			c.Class, recorded, c.Memory, c.File, c.NotKept, c.Refused, c.Moved, c.RetriedMemory, c.RetriedFile, c.UnkeptRefused, c.UnkeptFailed, outcomes[c.Class])
		total := 0
		for _, k := range outcomes[c.Class] {
			total += k
		}
		if int64(total) != recorded {
			t.Errorf("class %s: %d bodies sent, %d counted by the daemon", c.Class, total, recorded)
		}
	}
	t.Logf("maximum held: memory %d, disk %d, files %d, streams %d", view.Memory.Max, view.Disk.Max, view.Files.Max, view.Streams.Max)
}

// ownCPUTime returns the user and system time that this process has used.
func ownCPUTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// backgroundCase is a background load beside which small calls are measured.
type backgroundCase struct {
	name, baseline string // baseline: name of the case with which its p99 is compared
	process        bool   // the daemon runs in its own process
	clients        int    // each sends bodies of 1 MiB one after the other, in pieces with pauses
	pause          time.Duration
	breakDisk      func(*standin.Disk)
}

// BenchmarkBeside measures activate calls of 300 bytes without background load; beside 200 clients
// that each send bodies of 1 MiB, four seconds for each; and beside 5 such bodies per second while
// the disk is full or hangs. The first two cases also run with the daemon in its own process, apart
// from clients and servers. All cases alternate within one run, and each baseline runs twice to
// show the difference between equal cases. The metrics are medians over the rounds: p50, p99, p99
// divided by that of the baseline in the same round, and this process's CPU time per call. The CPU
// time beside 200 clients is left out where clients and servers share the process: it is mostly
// theirs.
//
// go test ./internal/rig -run '^$' -bench Beside -benchtime 1x
func BenchmarkBeside(b *testing.B) {
	const calls, warmUpCalls, rounds = 3000, 200, 7
	binary := filepath.Join(b.TempDir(), "fawnrock")
	if out, err := runCommand("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	const longPause, shortPause = 250 * time.Millisecond, 60 * time.Millisecond
	cases := []backgroundCase{
		{name: "nothing", baseline: "nothing"}, {name: "200-large-bodies", baseline: "nothing", clients: 200, pause: longPause},
		{name: "disk-full", baseline: "nothing", clients: 5, pause: shortPause, breakDisk: func(d *standin.Disk) { d.SetFreeBytes(0) }},
		{name: "disk-hung", baseline: "nothing", clients: 5, pause: shortPause, breakDisk: (*standin.Disk).Hang},
		{name: "nothing-again", baseline: "nothing"},
		{name: "process-nothing", baseline: "process-nothing", process: true},
		{name: "process-200-large-bodies", baseline: "process-nothing", process: true, clients: 200, pause: longPause},
		{name: "process-nothing-again", baseline: "process-nothing", process: true},
	}
	timesByCase, cpuByCase := make(map[string][][]time.Duration), make(map[string]time.Duration)
	for range rounds {
		for _, c := range cases {
			all, cpu := c.runRound(b, binary, calls, warmUpCalls)
			slices.Sort(all)
			timesByCase[c.name] = append(timesByCase[c.name], all)
			cpuByCase[c.name] += cpu
		}
	}
	quantile := func(name string, round int, fraction float64) float64 {
		all := timesByCase[name][round]
		return float64(all[int(fraction*float64(len(all)-1))]) / 1e3
	}
	for _, c := range cases {
		var p50, p99, ratio []float64
		for round := range rounds {
			p50, p99 = append(p50, quantile(c.name, round, 0.5)), append(p99, quantile(c.name, round, 0.99))
			ratio = append(ratio, quantile(c.name, round, 0.99)/quantile(c.baseline, round, 0.99))
		}
		for _, m := range []struct {
			name string
			all  []float64
		}{{"-p50-us", p50}, {"-p99-us", p99}, {"-p99-ratio", ratio}} {
			slices.Sort(m.all)
			b.ReportMetric(m.all[rounds/2], c.name+m.name)
		}
		b.Logf("%s: p99 %.0f us, %.2f times that of %s, by round", c.name, p99, ratio, c.baseline)
		if !c.process && c.clients < 100 {
			b.ReportMetric(float64(cpuByCase[c.name].Microseconds())/float64(rounds*(calls-warmUpCalls)), c.name+"-us-CPU/call")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// runRound makes the calls of one round. It returns the durations of all calls after the first
// warmUpCalls, and the CPU time that this process used for them.
func (c *backgroundCase) runRound(b *testing.B, binary string, calls, warmUpCalls int) (took []time.Duration, cpu time.Duration) {
	b.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: 4, Classes: rig.ActivationClasses(), NoHedge: true})
	if err != nil {
		b.Fatal(err)
	}
	defer site.Close()
	disk := standin.NewDisk()
	features := strings.NewReplacer("memory_mb = 16", "memory_mb = 64", "files = 8", "files = 64", "streams = 8", "streams = 256", "disk_mb = 16", "disk_mb = 256").Replace(bodyFeatures(b.TempDir(), ""))
	var daemon *rig.Daemon
	if c.process {
		daemon, err = site.StartProcess(binary, 1, features)
	} else {
		daemon, err = site.StartDaemonWithDisk(disk, 1, features)
	}
	if err != nil {
		b.Fatal(err)
	}
	defer daemon.Close()
	defer daemon.Stop()
	if c.breakDisk != nil {
		c.breakDisk(disk)
	}
	content := randomBytes(1, 1<<20)
	stop := make(chan struct{})
	var background sync.WaitGroup
	for g := range c.clients {
		background.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				postBody(daemon.Addr, "id-register", fmt.Sprintf("b%d-%d", g, n), &slowReader{content: content, pause: c.pause}, int64(len(content)))
			}
		})
	}
	client := standin.NewClient(daemon.Addr)
	defer client.Close()
	class := standin.Class{Name: "activate", Effect: standin.Unsafe}
	body := strings.Repeat("x", 300)
	var cpuBefore time.Duration
	for n := range calls {
		if n == warmUpCalls {
			cpuBefore = ownCPUTime()
		}
		reply := client.Do(context.Background(), standin.ClientRequest{ID: fmt.Sprint("a", n), Class: class, Body: body, Deadline: 2500 * time.Millisecond})
		if reply.Status != 200 {
			b.Errorf("%s: status %d of an activate call, %v", c.name, reply.Status, reply.Err)
		}
		if n >= warmUpCalls {
			took = append(took, reply.Elapsed)
		}
		time.Sleep(time.Millisecond)
	}
	cpu = ownCPUTime() - cpuBefore
	close(stop)
	disk.Resume()
	background.Wait()
	return took, cpu
}

// TestMain runs the tests, or with RIG_REVERSE set a reverse proxy to that address for
// BenchmarkPlaces.
func TestMain(m *testing.M) {
	target := os.Getenv("RIG_REVERSE")
	if target == "" {
		os.Exit(m.Run())
	}
	targetURL, err := url.Parse("http://" + target)
	if err != nil {
		panic(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	go http.Serve(ln, httputil.NewSingleHostReverseProxy(targetURL))
	io.Copy(io.Discard, os.Stdin) // until the parent process closes the pipe
}

// startReverseProxy starts an httputil.ReverseProxy in its own process. stop ends it and returns
// its CPU time and its peak resident memory in bytes.
func startReverseProxy(b *testing.B, target string) (addr string, stop func() (time.Duration, int64)) {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "RIG_REVERSE="+target)
	stdin, _ := cmd.StdinPipe()
	stdout, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err == nil {
		_, err = fmt.Fscanln(stdout, &addr)
	}
	if err != nil {
		b.Fatal(err)
	}
	return addr, func() (time.Duration, int64) {
		peakBytes := rig.PeakResidentBytes(cmd.Process.Pid)
		stdin.Close()
		cmd.Wait()
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime(), peakBytes
	}
}

// BenchmarkPlaces sends bodies of several sizes through a daemon that keeps them in different
// places, and through an httputil.ReverseProxy, each in its own process. It measures throughput and
// the process's CPU time and peak resident memory. The servers hash the bodies in all cases.
//
// go test ./internal/rig -run '^$' -bench Places -benchtime 1x
func BenchmarkPlaces(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "fawnrock")
	if out, err := runCommand("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	folder := b.TempDir()
	baseFeatures := "version = 1\n[bodies]\nenabled = true\nmemory_mb = 120\nlongest_mb = 2048\nfile_longest_mb = 1100\ndisk_mb = 2200\nwithin = \"10m\"\n"
	places := map[string]string{
		"memory":     baseFeatures + "memory_longest_kb = 65536\n",
		"sealed":     baseFeatures + fmt.Sprintf("memory_longest_kb = 64\nfolder = %q\n", folder),
		"compressed": baseFeatures + fmt.Sprintf("memory_longest_kb = 64\ncompress = true\nfolder = %q\n", folder),
		"through":    strings.Replace(baseFeatures, "file_longest_mb = 1100", "file_longest_mb = 1", 1) + "memory_longest_kb = 64\n",
	}
	for _, size := range []int{64 << 10, 1 << 20, 64 << 20, 1 << 30} {
		for _, name := range []string{"ReverseProxy", "memory", "sealed", "compressed", "through"} {
			if size > 64<<20 && name == "memory" {
				continue
			}
			b.Run(fmt.Sprintf("%dKiB/%s", size>>10, name), func(b *testing.B) {
				site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: []rig.Class{{Name: "activate", Effect: standin.Unsafe, Aim: time.Minute, Deadline: 5 * time.Minute, Worth: 1}}})
				if err != nil {
					b.Fatal(err)
				}
				defer site.Close()
				var addr string
				var stop func() (cpuUsed time.Duration, peakBytes int64)
				if name == "ReverseProxy" {
					addr, stop = startReverseProxy(b, site.Servers[0].Addr())
				} else {
					daemon, err := site.StartProcess(binary, 1, places[name])
					if err != nil {
						b.Fatal(err)
					}
					addr, stop = daemon.Addr, func() (time.Duration, int64) {
						peakBytes := daemon.PeakResidentBytes()
						daemon.Stop()
						return daemon.CPUTime(), peakBytes
					}
				}
				requests := max(1, min(200, 512<<20/size))
				content := randomBytes(3, min(size, 1<<20))
				succeeded, startTime := 0, time.Now()
				for i := range requests {
					status, _, err := postBody(addr, "activate", fmt.Sprintf("p%d", i), io.LimitReader(&repeatingReader{content: content}, int64(size)), int64(size))
					if status == 200 {
						succeeded++
					} else {
						b.Errorf("status %d, %v, want 200", status, err)
					}
				}
				took := time.Since(startTime)
				cpu, peakBytes := stop()
				mib := float64(succeeded) * float64(size) / (1 << 20)
				b.ReportMetric(mib/took.Seconds(), "MiB/s")
				b.ReportMetric(float64(cpu.Microseconds())/max(mib, 1e-9), "us-CPU/MiB")
				b.ReportMetric(float64(peakBytes)/(1<<20), "most-MiB")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// repeatingReader returns its content again and again without end.
type repeatingReader struct {
	content []byte
	offset  int
}

func (r *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, r.content[r.offset:])
	r.offset = (r.offset + n) % len(r.content)
	return n, nil
}

// BenchmarkResident measures the peak resident memory of a daemon's process that receives 1,000
// bodies of 1 MiB at once, with no store for bodies and with one that may use 64 MB of memory.
//
// go test ./internal/rig -run '^$' -bench Resident -benchtime 1x
func BenchmarkResident(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "fawnrock")
	if out, err := runCommand("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	for name, features := range map[string]string{
		"off":          "version = 1\n",
		"kept-in-64MB": fmt.Sprintf("version = 1\n[bodies]\nenabled = true\nmemory_mb = 64\ndisk_mb = 1200\nfiles = 200\nfolder = %q\n", b.TempDir()),
	} {
		site, err := rig.NewSite(rig.SiteConfig{Servers: 4, Classes: rig.ActivationClasses()})
		if err != nil {
			b.Fatal(err)
		}
		daemon, err := site.StartProcess(binary, 1, features)
		if err != nil {
			b.Fatal(err)
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		statuses := make(map[int]int)
		content := randomBytes(5, 1<<20)
		for n := range 1000 {
			wg.Go(func() {
				status, _, _ := postBody(daemon.Addr, "id-register", fmt.Sprint("r", n), &slowReader{content: content, pause: 50 * time.Millisecond}, int64(len(content)))
				mu.Lock()
				statuses[status]++
				mu.Unlock()
			})
		}
		wg.Wait()
		b.ReportMetric(float64(daemon.PeakResidentBytes())/(1<<20), name+"-most-MiB")
		b.Logf("%s: answers by status %v", name, statuses)
		daemon.Close()
		site.Close()
	}
}

// slowReader returns its content once, in pieces of at most 64 KiB with a pause before each.
type slowReader struct {
	content []byte
	offset  int
	pause   time.Duration
}

func (s *slowReader) Read(p []byte) (int, error) {
	if s.offset == len(s.content) {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(p, s.content[s.offset:min(len(s.content), s.offset+64<<10)])
	s.offset += n
	return n, nil
}
