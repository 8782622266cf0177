package rig_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
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
		kept := c.Memory + c.File + c.Nowhere + c.Refused
		t.Logf("%s: %d bodies: memory %d, file %d, not kept %d, no room %d; moved %d; retried %d from memory, %d from a file; not kept and refused %d, failed %d; ends %v",
			c.Class, kept, c.Memory, c.File, c.Nowhere, c.Refused, c.Moved, c.RetriedMemory, c.RetriedFile, c.UnkeptRefused, c.UnkeptFailed, ends[c.Class])
		got := 0
		for _, k := range ends[c.Class] {
			got += k
		}
		if int64(got) != kept {
			t.Errorf("%s: %d bodies, %d booked", c.Class, got, kept)
		}
	}
	t.Logf("most: memory %d, disk %d, files %d, streams %d", v.Memory.Most, v.Disk.Most, v.Files.Most, v.Streams.Most)
}

func processCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkBeside is an activate call of 300 bytes beside nothing, 200 large bodies, a
// full disk and one that hangs, in turns within one run: p50 and p99 by the first.
// go test ./internal/rig -run '^$' -bench Beside -benchtime 1x
func BenchmarkBeside(b *testing.B) {
	const calls, rounds = 1500, 5
	took := make(map[string][]time.Duration)
	names := []string{"nothing", "200 large bodies", "disk full", "disk hung"}
	for range rounds {
		for _, name := range names {
			site, err := rig.NewSite(rig.SiteConfig{Servers: 4, Classes: rig.Activation(), NoHedge: true})
			if err != nil {
				b.Fatal(err)
			}
			disk := standin.NewDisk()
			d, err := site.StartDaemonOn(disk, 1, bodies(b.TempDir(), ""))
			if err != nil {
				b.Fatal(err)
			}
			stop := make(chan struct{})
			var beside sync.WaitGroup
			if name != "nothing" {
				switch name {
				case "disk full":
					disk.Room(0)
				case "disk hung":
					disk.Hang()
				}
				// 200 bodies of 1 MiB at 40 at once, at a steady pace.
				tick := time.NewTicker(20 * time.Millisecond)
				p := random(1, 1<<20)
				for g := range 40 {
					beside.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-stop:
								return
							case <-tick.C:
							}
							post(d.Addr, "id-register", fmt.Sprintf("b%d-%d", g, n), bytes.NewReader(p), int64(len(p)))
						}
					})
				}
			}
			client := standin.NewClient(d.Addr)
			ask := standin.Class{Name: "activate", Effect: standin.Unsafe}
			text := strings.Repeat("x", 300)
			for n := range calls {
				r := client.Do(context.Background(), standin.Ask{ID: fmt.Sprint("a", n), Class: ask, Body: text, Deadline: 2500 * time.Millisecond})
				if r.Status == 200 && n >= 100 {
					took[name] = append(took[name], r.Took)
				}
				time.Sleep(time.Millisecond)
			}
			close(stop)
			disk.Resume()
			beside.Wait()
			client.Close()
			d.Stop()
			site.Close()
		}
	}
	at := func(name string, p float64) float64 {
		all := took[name]
		slices.Sort(all)
		return float64(all[int(p*float64(len(all)-1))]) / 1e3
	}
	for _, name := range names {
		key := strings.ReplaceAll(name, " ", "-")
		b.ReportMetric(at(name, 0.5), key+"-p50-us")
		b.ReportMetric(at(name, 0.99), key+"-p99-us")
		b.ReportMetric(at(name, 0.99)/at("nothing", 0.99), key+"-p99-ratio")
	}
}

// BenchmarkPlaces is the throughput and CPU of bodies by size and place, beside
// httputil.ReverseProxy in the same run.
// go test ./internal/rig -run '^$' -bench Places -benchtime 1x
func BenchmarkPlaces(b *testing.B) {
	sum := func(_ http.ResponseWriter, r *http.Request) { io.Copy(sha256.New(), r.Body) } // as the stand-ins do
	target := httptest.NewServer(http.HandlerFunc(sum))
	defer target.Close()
	to, _ := url.Parse(target.URL)
	reverse := httptest.NewServer(httputil.NewSingleHostReverseProxy(to))
	defer reverse.Close()
	folder := b.TempDir()
	base := "version = 1\n[bodies]\nenabled = true\nlongest_mb = 2048\nfile_longest_mb = 1100\ndisk_mb = 2200\nwithin = \"10m\"\n"
	places := map[string]string{
		"memory":     base + "memory_longest_kb = 65536\n",
		"sealed":     base + fmt.Sprintf("memory_longest_kb = 64\nfolder = %q\n", folder),
		"compressed": base + fmt.Sprintf("memory_longest_kb = 64\ncompress = true\nfolder = %q\n", folder),
		"through":    strings.Replace(base, "file_longest_mb = 1100", "file_longest_mb = 1", 1) + "memory_longest_kb = 64\n",
	}
	for _, size := range []int{64 << 10, 1 << 20, 64 << 20, 1 << 30} {
		run := func(name, addr, class string) {
			b.Run(fmt.Sprintf("%dKiB/%s", size>>10, name), func(b *testing.B) {
				n := max(3, min(200, 256<<20/size))
				if size >= 1<<30 {
					n = 1
				}
				p := random(3, min(size, 1<<20))
				before, began := processCPU(), time.Now()
				good := 0
				for i := range n {
					r := io.LimitReader(&repeat{p: p}, int64(size))
					if status, _, err := post(addr, class, fmt.Sprintf("p%s%d-%d", name, size, i), r, int64(size)); status == 200 {
						good++
					} else {
						b.Logf("%d, %v", status, err)
					}
				}
				mib := float64(good) * float64(size) / (1 << 20)
				b.ReportMetric(mib/time.Since(began).Seconds(), "MiB/s")
				b.ReportMetric(float64((processCPU()-before).Microseconds())/max(mib, 1e-9), "us-CPU/MiB")
				b.ReportMetric(0, "ns/op")
			})
		}
		run("ReverseProxy", strings.TrimPrefix(reverse.URL, "http://"), "activate")
		for _, name := range []string{"memory", "sealed", "compressed", "through"} {
			if size > 64<<20 && name == "memory" {
				continue
			}
			site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: []rig.Class{{Name: "activate", Effect: standin.Unsafe, Aim: time.Minute, Deadline: 5 * time.Minute, Worth: 1}}})
			if err != nil {
				b.Fatal(err)
			}
			d, err := site.StartDaemon(1, places[name])
			if err != nil {
				b.Fatal(err)
			}
			run(name, d.Addr, "activate")
			d.Stop()
			site.Close()
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
				status, _, _ := post(d.Addr, "id-register", fmt.Sprint("r", n), &slow{p: p}, int64(len(p)))
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

// slow sends a body over a second, so that all are under way at once.
type slow struct {
	p  []byte
	at int
}

func (s *slow) Read(p []byte) (int, error) {
	if s.at == len(s.p) {
		return 0, io.EOF
	}
	time.Sleep(50 * time.Millisecond)
	n := copy(p, s.p[s.at:min(len(s.p), s.at+64<<10)])
	s.at += n
	return n, nil
}
