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

// mixSize is how many bodies the mix has, and how long they are at most: more by
// FAWN_BODIES=N,BYTES.
func mixSize() (n, most int) {
	n, most = 120, 4<<20
	if a, b, ok := strings.Cut(os.Getenv("FAWN_BODIES"), ","); ok {
		n, _ = strconv.Atoi(a)
		most, _ = strconv.Atoi(b)
	}
	return n, most
}

// Memory and disk filled by a seeded mix of the three classes while servers fail: each
// body that a server took whole is what was sent, none runs twice but by the rules, what
// was not kept was sent once at most, and in the end nothing is held.
func TestMixFillsMemoryAndDisk(t *testing.T) {
	n, most := mixSize()
	socket := filepath.Join(t.TempDir(), "s")
	site, d := start(t, 6, bodies(t.TempDir(), socket))
	script(site, standin.Random(7,
		standin.Odd{Share: 0.1, Act: standin.Act{Kind: standin.ResetLate}},
		standin.Odd{Share: 0.1, Act: standin.Act{Kind: standin.Fail}},
		standin.Odd{Share: 0.1, Act: standin.Act{Kind: standin.Decline}},
		standin.Odd{Share: 0.1, Act: standin.Act{Kind: standin.ResetEarly, Delay: 5 * time.Millisecond}},
		standin.Odd{Share: 0.6, Act: standin.Act{Delay: 30 * time.Millisecond}}))
	classes := []string{"status-check", "id-register", "activate"}
	type sent struct {
		class string
		size  int
		sum   [32]byte
		ends  string
	}
	all := make([]sent, n)
	var wg sync.WaitGroup
	room := make(chan struct{}, 40)
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		// Sizes by the logarithm: as many of 1 to 10 KiB as of 10 to 100.
		size := 1024
		for f := rng.Float64(); f > 0 && size < most; f -= 1 / math.Log2(float64(most)/1024) {
			size *= 2
		}
		size = min(size+rng.IntN(1024), most)
		all[i] = sent{class: classes[rng.IntN(3)], size: size}
		chunked := rng.IntN(3) == 0
		room <- struct{}{}
		wg.Go(func() {
			defer func() { <-room }()
			p := random(uint64(i), size)
			all[i].sum = sha256.Sum256(p)
			length := int64(size)
			if chunked {
				length = -1
			}
			status, _, err := post(d.Addr, all[i].class, fmt.Sprintf("m%d", i), bytes.NewReader(p), length)
			all[i].ends = map[int]string{200: "served", 502: "failed", 503: "refused"}[status]
			if all[i].ends == "" {
				t.Errorf("body %d of %d bytes: %d, %v", i, size, status, err)
			}
		})
	}
	wg.Wait()
	v := emptied(t, socket)
	for _, a := range site.Ledger.Log() {
		i, err := strconv.Atoi(strings.TrimPrefix(a.ID, "m"))
		if err != nil || a.Size != int64(all[i].size) || a.Sum != all[i].sum {
			t.Errorf("%s: %d bytes arrived that are not those sent", a.ID, a.Size)
		}
	}
	ends := make(map[string]map[string]int)
	for i, s := range all {
		c := site.Ledger.ID(fmt.Sprintf("m%d", i))
		if c.Effects > 1 && s.class != "status-check" {
			t.Errorf("body %d of %s took effect %d times", i, s.class, c.Effects)
		}
		if s.size > 2<<20+1024 && c.Attempts > 1 {
			t.Errorf("body %d of %d bytes, not kept, arrived %d times", i, s.size, c.Attempts)
		}
		if ends[s.class] == nil {
			ends[s.class] = make(map[string]int)
		}
		ends[s.class][s.ends]++
	}
	for _, c := range v.Classes {
		kept := c.Memory + c.File + c.NotKept + c.Refused
		t.Logf("%s: %d bodies: memory %d, file %d, not kept %d, no room %d; moved %d; retried %d from memory, %d from a file; not kept and refused %d, failed %d; ends %v",
			c.Class, kept, c.Memory, c.File, c.NotKept, c.Refused, c.Moved, c.RetriedMemory, c.RetriedFile, c.UnkeptRefused, c.UnkeptFailed, ends[c.Class])
		got := 0
		for _, k := range ends[c.Class] {
			got += k
		}
		if int64(got) != kept {
			t.Errorf("%s: %d bodies, %d booked", c.Class, got, kept)
		}
	}
	t.Logf("most: memory %d, disk %d, files %d, streams %d", v.Memory.Max, v.Disk.Max, v.Files.Max, v.Streams.Max)
}

func processCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// besideCase is what a small call is measured beside.
type besideCase struct {
	name, base string // base: the case that its p99 is held against
	process    bool   // the daemon has a process of its own
	clients    int    // that each send 1 MiB again and again, in pieces with pauses
	pause      time.Duration
	disk       func(*standin.Disk)
}

// BenchmarkBeside is an activate call of 300 bytes beside nothing; beside 200 clients
// that each send 1 MiB within four seconds, again and again; and beside five such bodies
// a second that meet a full disk, and one that hangs; the first two also with the daemon
// in a process of its own, which clients and servers do not share. In turns within one
// run, each base a second time, for how far two of the same lie apart: medians of the
// rounds' p50 and p99, of p99 over that of the base in the same round, and the whole
// process's CPU a call. Where clients and servers share the process, the CPU beside 200
// clients is mostly theirs and left out.
// go test ./internal/rig -run '^$' -bench Beside -benchtime 1x
func BenchmarkBeside(b *testing.B) {
	const calls, warm, rounds = 3000, 200, 7
	binary := filepath.Join(b.TempDir(), "fawnrock")
	if out, err := run("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	const long, short = 250 * time.Millisecond, 60 * time.Millisecond
	cases := []besideCase{
		{name: "nothing", base: "nothing"}, {name: "200-large-bodies", base: "nothing", clients: 200, pause: long},
		{name: "disk-full", base: "nothing", clients: 5, pause: short, disk: func(d *standin.Disk) { d.Room(0) }},
		{name: "disk-hung", base: "nothing", clients: 5, pause: short, disk: (*standin.Disk).Hang},
		{name: "nothing-again", base: "nothing"},
		{name: "process-nothing", base: "process-nothing", process: true},
		{name: "process-200-large-bodies", base: "process-nothing", process: true, clients: 200, pause: long},
		{name: "process-nothing-again", base: "process-nothing", process: true},
	}
	took, used := make(map[string][][]time.Duration), make(map[string]time.Duration)
	for range rounds {
		for _, c := range cases {
			all, cpu := c.play(b, binary, calls, warm)
			slices.Sort(all)
			took[c.name] = append(took[c.name], all)
			used[c.name] += cpu
		}
	}
	at := func(name string, round int, p float64) float64 {
		all := took[name][round]
		return float64(all[int(p*float64(len(all)-1))]) / 1e3
	}
	for _, c := range cases {
		var p50, p99, ratio []float64
		for round := range rounds {
			p50, p99 = append(p50, at(c.name, round, 0.5)), append(p99, at(c.name, round, 0.99))
			ratio = append(ratio, at(c.name, round, 0.99)/at(c.base, round, 0.99))
		}
		for _, m := range []struct {
			name string
			all  []float64
		}{{"-p50-us", p50}, {"-p99-us", p99}, {"-p99-ratio", ratio}} {
			slices.Sort(m.all)
			b.ReportMetric(m.all[rounds/2], c.name+m.name)
		}
		b.Logf("%s: p99 %.0f us, %.2f times that of %s, by round", c.name, p99, ratio, c.base)
		if !c.process && c.clients < 100 {
			b.ReportMetric(float64(used[c.name].Microseconds())/float64(rounds*(calls-warm)), c.name+"-us-CPU/call")
		}
	}
	b.ReportMetric(0, "ns/op")
}

// play makes the calls of one round, without those that warm up, and says what CPU this
// process used meanwhile.
func (c *besideCase) play(b *testing.B, binary string, calls, warm int) (took []time.Duration, cpu time.Duration) {
	b.Helper()
	site, err := rig.NewSite(rig.SiteConfig{Servers: 4, Classes: rig.Activation(), NoHedge: true})
	if err != nil {
		b.Fatal(err)
	}
	defer site.Close()
	disk := standin.NewDisk()
	features := strings.NewReplacer("memory_mb = 16", "memory_mb = 64", "files = 8", "files = 64", "streams = 8", "streams = 256", "disk_mb = 16", "disk_mb = 256").Replace(bodies(b.TempDir(), ""))
	var d *rig.Daemon
	if c.process {
		d, err = site.StartProcess(binary, 1, features)
	} else {
		d, err = site.StartDaemonOn(disk, 1, features)
	}
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	defer d.Stop()
	if c.disk != nil {
		c.disk(disk)
	}
	p := random(1, 1<<20)
	stop := make(chan struct{})
	var beside sync.WaitGroup
	for g := range c.clients {
		beside.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				post(d.Addr, "id-register", fmt.Sprintf("b%d-%d", g, n), &slow{p: p, pause: c.pause}, int64(len(p)))
			}
		})
	}
	client := standin.NewClient(d.Addr)
	defer client.Close()
	ask := standin.Class{Name: "activate", Effect: standin.Unsafe}
	text := strings.Repeat("x", 300)
	var before time.Duration
	for n := range calls {
		if n == warm {
			before = processCPU()
		}
		r := client.Do(context.Background(), standin.Ask{ID: fmt.Sprint("a", n), Class: ask, Body: text, Deadline: 2500 * time.Millisecond})
		if r.Status != 200 {
			b.Errorf("%s: an activate ends with %d, %v", c.name, r.Status, r.Err)
		}
		if n >= warm {
			took = append(took, r.Took)
		}
		time.Sleep(time.Millisecond)
	}
	cpu = processCPU() - before
	close(stop)
	disk.Resume()
	beside.Wait()
	return took, cpu
}

// TestMain is also a reverse proxy in a process of its own, for a benchmark.
func TestMain(m *testing.M) {
	target := os.Getenv("RIG_REVERSE")
	if target == "" {
		os.Exit(m.Run())
	}
	to, err := url.Parse("http://" + target)
	if err != nil {
		panic(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(ln.Addr())
	go http.Serve(ln, httputil.NewSingleHostReverseProxy(to))
	io.Copy(io.Discard, os.Stdin) // until its parent ends it
}

// reverse starts one; stop returns what it used and held at most.
func reverse(b *testing.B, target string) (addr string, stop func() (time.Duration, int64)) {
	b.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "RIG_REVERSE="+target)
	in, _ := cmd.StdinPipe()
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err == nil {
		_, err = fmt.Fscanln(out, &addr)
	}
	if err != nil {
		b.Fatal(err)
	}
	return addr, func() (time.Duration, int64) {
		most := rig.Resident(cmd.Process.Pid)
		in.Close()
		cmd.Wait()
		return cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime(), most
	}
}

// BenchmarkPlaces is bodies by size and place, through a daemon's process and through
// one of httputil.ReverseProxy in turn: throughput, the process's CPU, and the most that
// it had resident. The servers hash what comes, for both alike.
// go test ./internal/rig -run '^$' -bench Places -benchtime 1x
func BenchmarkPlaces(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "fawnrock")
	if out, err := run("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	folder := b.TempDir()
	base := "version = 1\n[bodies]\nenabled = true\nmemory_mb = 120\nlongest_mb = 2048\nfile_longest_mb = 1100\ndisk_mb = 2200\nwithin = \"10m\"\n"
	places := map[string]string{
		"memory":     base + "memory_longest_kb = 65536\n",
		"sealed":     base + fmt.Sprintf("memory_longest_kb = 64\nfolder = %q\n", folder),
		"compressed": base + fmt.Sprintf("memory_longest_kb = 64\ncompress = true\nfolder = %q\n", folder),
		"through":    strings.Replace(base, "file_longest_mb = 1100", "file_longest_mb = 1", 1) + "memory_longest_kb = 64\n",
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
				var stop func() (used time.Duration, most int64)
				if name == "ReverseProxy" {
					addr, stop = reverse(b, site.Servers[0].Addr())
				} else {
					d, err := site.StartProcess(binary, 1, places[name])
					if err != nil {
						b.Fatal(err)
					}
					addr, stop = d.Addr, func() (time.Duration, int64) {
						most := d.Resident()
						d.Stop()
						return d.CPU(), most
					}
				}
				n := max(1, min(200, 512<<20/size))
				p := random(3, min(size, 1<<20))
				good, began := 0, time.Now()
				for i := range n {
					status, _, err := post(addr, "activate", fmt.Sprintf("p%d", i), io.LimitReader(&repeat{p: p}, int64(size)), int64(size))
					if status == 200 {
						good++
					} else {
						b.Errorf("%d, %v", status, err)
					}
				}
				took := time.Since(began)
				cpu, most := stop()
				mib := float64(good) * float64(size) / (1 << 20)
				b.ReportMetric(mib/took.Seconds(), "MiB/s")
				b.ReportMetric(float64(cpu.Microseconds())/max(mib, 1e-9), "us-CPU/MiB")
				b.ReportMetric(float64(most)/(1<<20), "most-MiB")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

type repeat struct {
	p  []byte
	at int
}

func (r *repeat) Read(p []byte) (int, error) {
	n := copy(p, r.p[r.at:])
	r.at = (r.at + n) % len(r.p)
	return n, nil
}

// BenchmarkResident is 1,000 bodies of 1 MiB at once in a daemon's process that has 64
// MB for bodies: the most that was resident.
// go test ./internal/rig -run '^$' -bench Resident -benchtime 1x
func BenchmarkResident(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "fawnrock")
	if out, err := run("go", "build", "-o", binary, "chalkrack/cmd/fawnrock"); err != nil {
		b.Fatalf("%v\n%s", err, out)
	}
	for name, features := range map[string]string{
		"off":          "version = 1\n",
		"kept-in-64MB": fmt.Sprintf("version = 1\n[bodies]\nenabled = true\nmemory_mb = 64\ndisk_mb = 1200\nfiles = 200\nfolder = %q\n", b.TempDir()),
	} {
		site, err := rig.NewSite(rig.SiteConfig{Servers: 4, Classes: rig.Activation()})
		if err != nil {
			b.Fatal(err)
		}
		d, err := site.StartProcess(binary, 1, features)
		if err != nil {
			b.Fatal(err)
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		ends := make(map[int]int)
		p := random(5, 1<<20)
		for n := range 1000 {
			wg.Go(func() {
				status, _, _ := post(d.Addr, "id-register", fmt.Sprint("r", n), &slow{p: p, pause: 50 * time.Millisecond}, int64(len(p)))
				mu.Lock()
				ends[status]++
				mu.Unlock()
			})
		}
		wg.Wait()
		b.ReportMetric(float64(d.Resident())/(1<<20), name+"-most-MiB")
		b.Logf("%s: ends by status %v", name, ends)
		d.Close()
		site.Close()
	}
}

// slow is a body that comes in pieces of 64 KiB with pauses between.
type slow struct {
	p     []byte
	at    int
	pause time.Duration
}

func (s *slow) Read(p []byte) (int, error) {
	if s.at == len(s.p) {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	n := copy(p, s.p[s.at:min(len(s.p), s.at+64<<10)])
	s.at += n
	return n, nil
}
