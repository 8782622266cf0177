package client

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// processCPU returns the CPU time that this process has used so far.
func processCPU() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall makes sequential calls through a plain http.Transport, through the
// plug-in, and through the daemon as a separate process. The stand-in servers run in this
// process in every case, so the CPU figures differ only by the path of the calls; the
// daemon's own CPU is not included.
func BenchmarkCall(b *testing.B) {
	cs := rigClassesWithDeadline(5 * time.Second)
	site := newSite(b, rig.SiteConfig{Classes: cs, Servers: 4, NoHedge: true})
	plugin := newTransport(b, Config{Platform: site.PlatformConfig("127.0.0.1:1", 1), Seed: 1})
	path, err := rig.BuildDaemon()
	if err != nil {
		b.Fatal(err)
	}
	d, err := site.StartProcess(path, 1, "")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Close)
	byDaemon := newTransport(b, Config{Platform: site.PlatformConfig("127.0.0.1:1", 1), Seed: 1, Daemon: d.Addr})
	plain := func(addr string) http.RoundTripper {
		t := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}}
		b.Cleanup(t.CloseIdleConnections)
		return t
	}
	for _, way := range []struct {
		name string
		rt   http.RoundTripper
	}{
		{"plain", plain(site.Servers[0].Addr())},
		{"plugin", plugin},
		{"plain-to-daemon", plain(d.Addr)},
		{"plugin-by-daemon", byDaemon},
	} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			var took []time.Duration
			m := mix(1, cs)
			before := processCPU()
			for b.Loop() {
				a := m.Next()
				began := time.Now()
				resp, err := way.rt.RoundTrip(newRequest(context.Background(), standin.ClientRequest{ID: a.ID, Class: a.Class, Key: a.Key, Body: a.Body, Deadline: a.Deadline}))
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				took = append(took, time.Since(began))
			}
			used := processCPU() - before
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
			b.ReportMetric(float64(used.Microseconds())/float64(len(took)), "cpu-us/op")
		})
	}
}

// BenchmarkDaemonCPU measures the CPU time of the daemon's process per call, without its
// start and shutdown. The environment variable DAEMON names another binary to compare.
func BenchmarkDaemonCPU(b *testing.B) {
	path := os.Getenv("DAEMON")
	if path == "" {
		var err error
		if path, err = rig.BuildDaemon(); err != nil {
			b.Fatal(err)
		}
	}
	cs := rigClassesWithDeadline(5 * time.Second)
	site := newSite(b, rig.SiteConfig{Classes: cs, Servers: 4, NoHedge: true})
	run := func(calls int) time.Duration {
		d, err := site.StartProcess(path, 1, "")
		if err != nil {
			b.Fatal(err)
		}
		defer d.Close()
		c := standin.NewClient(d.Addr)
		defer c.Close()
		m := mix(1, cs)
		for range calls {
			if r := c.Do(context.Background(), m.Next()); r.Status != 200 {
				b.Fatalf("%+v", r)
			}
		}
		if err := d.Stop(); err != nil {
			b.Fatal(err)
		}
		return d.CPUTime()
	}
	const calls = 40000
	for b.Loop() {
		idle := run(0)
		b.ReportMetric(float64((run(calls)-idle).Microseconds())/calls, "cpu-us/call")
	}
}
