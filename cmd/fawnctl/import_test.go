package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
)

// Guards the import against a directive that is dropped or changed without a verdict. Each sample
// must give one verdict for each directive, the exit status of the worst verdict, and settings with
// which the daemon treats requests as HAProxy does.
func TestImportHaproxy(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	for _, sample := range samples {
		t.Run(sample.name, func(t *testing.T) {
			site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.LongDeadlineClasses(), NoHedge: true})
			if err != nil {
				t.Fatal(err)
			}
			defer site.Close()
			text := sample.text
			var names []string // pairs of an address and its letter, to restore the letters in the report
			for _, name := range []string{"a", "b", "c", "d"} {
				s, err := standin.NewServer(standin.ServerConfig{Name: name, Ledger: site.Ledger, Script: standin.Always(standin.Action{Kind: sample.serverKinds[name]})})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				if name == sample.deadServer {
					s.Kill()
				}
				text = strings.ReplaceAll(text, " "+strings.ToUpper(name), " "+s.Addr())
				names = append(names, s.Addr(), strings.ToUpper(name))
			}
			dir := t.TempDir()
			// Finds a free port. Outgoing connections come from 127.0.0.1 and can't take it meanwhile.
			listener, err := net.Listen("tcp", "127.0.0.3:0")
			if err != nil {
				t.Fatal(err)
			}
			listener.Close()
			text = strings.ReplaceAll(text, " E\n", " "+listener.Addr().String()+"\n")
			names = append(names, listener.Addr().String(), "E")
			t.Setenv("FAWN_TEST_POOL", "shop")
			for n, part := range strings.Split(text, "---\n") {
				if err := os.WriteFile(filepath.Join(dir, fmt.Sprint(n, ".cfg")), []byte(part), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out, errs bytes.Buffer
			status := run([]string{"import", "haproxy", dir, "--out", dir, "--report", "json", "--safe-class", "status-check", "--other-class", "activate", "--classes", "status-check,activate"}, &stdStreams{strings.NewReader(""), &out, &errs})
			if status != sample.wantExit {
				t.Errorf("exit %d, want %d: %s", status, sample.wantExit, errs.String())
			}
			var decoded struct {
				Directives []struct{ At, Directive, Verdict, Why string }
				Counts     map[string]int
			}
			if err := json.Unmarshal(out.Bytes(), &decoded); err != nil {
				t.Fatalf("%v\n%s", err, out.String())
			}
			lines, sum := 0, 0
			for _, l := range strings.Split(text, "\n") {
				if l = strings.TrimSpace(l); l != "" && l != "---" {
					lines++
				}
			}
			for _, n := range decoded.Counts {
				sum += n
			}
			if sum != lines || len(decoded.Directives) != lines {
				t.Errorf("%d lines, %d verdicts, counts %v", lines, len(decoded.Directives), decoded.Counts)
			}
			for _, s := range sample.wantVerdicts {
				verdict, part, _ := strings.Cut(s, "|")
				for _, name := range []string{" A", " B", " C", " E"} { // addresses differ in each run
					part, _, _ = strings.Cut(part, name)
				}
				if !slices.ContainsFunc(decoded.Directives, func(d struct{ At, Directive, Verdict, Why string }) bool {
					return d.Verdict == verdict && strings.Contains(d.Directive, part)
				}) {
					t.Errorf("no directive with %q has the verdict %s: %+v", part, verdict, decoded.Directives)
				}
			}
			var report strings.Builder
			for _, d := range decoded.Directives {
				fmt.Fprintf(&report, "%s\t%s\t%s\t%s\n", filepath.Base(d.At), d.Verdict, d.Directive, d.Why)
			}
			settings, err := os.ReadFile(filepath.Join(dir, "features.toml"))
			if err != nil {
				t.Fatal(err)
			}
			names = append(names, dir+string(filepath.Separator), "")
			checkGolden(t, sample.name, strings.NewReplacer(names...).Replace(report.String()+"\n"+string(settings)))
			daemon, err := site.StartDaemon(1, string(settings))
			if err != nil {
				t.Fatalf("%v\n%s", err, settings)
			}
			defer daemon.Stop()
			for n, request := range sample.requests {
				id := fmt.Sprint("q", n)
				addr := daemon.Addr
				if request.listener != "" {
					addr = listener.Addr().String()
				}
				httpRequest, err := http.NewRequestWithContext(t.Context(), request.method, "http://"+addr+request.path, nil)
				if err != nil {
					t.Fatal(err)
				}
				httpRequest.Host = request.host
				httpRequest.Header.Set("Req-Id", id)
				if name, value, ok := strings.Cut(request.header, ": "); ok {
					httpRequest.Header.Set(name, value)
				}
				resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(httpRequest)
				if err != nil {
					t.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if got := site.Ledger.RequestCount(id).Attempts; request.wantAttempts > 0 && got != request.wantAttempts {
					t.Errorf("%s %s: %d attempts, want %d", request.method, request.path, got, request.wantAttempts)
				}
				if resp.StatusCode != request.wantStatus || (site.Ledger.RequestCount(id).Attempts > 0) != (request.wantServers != "") {
					t.Errorf("%s %s%s: %d, want %d\n%s", request.method, request.host, request.path, resp.StatusCode, request.wantStatus, settings)
				}
				for _, got := range site.Ledger.Arrivals() {
					if got.ID == id && !slices.Contains(strings.Fields(request.wantServers), got.Server) {
						t.Errorf("%s %s%s went to %s, want %s", request.method, request.host, request.path, got.Server, request.wantServers)
					}
				}
			}
		})
	}
	for _, e := range []commandCase{
		{"haproxy nowhere.cfg", 3, "", "can't be read"},
		{"haproxy " + os.DevNull, 0, "0 directives", ""},
		{"haproxy " + os.DevNull + " --safe-class a", 1, "", "go together"},
	} {
		e.runAndCheck(t, "import")
	}
}

// checkGolden compares a report with the one in testdata. FAWN_GOLDEN=1 writes that file anew.
func checkGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "import", strings.Map(func(r rune) rune {
		if r == ' ' || r == ',' {
			return '-'
		}
		return r
	}, name)+".report")
	if os.Getenv("FAWN_GOLDEN") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("the report differs from %s (%v):\n%s", path, err, got)
	}
}
