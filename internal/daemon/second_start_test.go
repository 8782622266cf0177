package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"chalkrack/internal/config"
	"chalkrack/internal/daemon"
	"chalkrack/internal/standin"
)

// A second daemon with the name and address of a running one fails at once with an error that names
// the cause; the first goes on serving.
func TestSecondStartAtSameAddressFails(t *testing.T) {
	site, d := startDaemon(t, 2, 0, 0)
	c := loadConfig(t, site.PlatformConfig(d.Addr, 1))
	if err := daemon.Run(c, make(chan os.Signal), make(chan os.Signal), nil); err == nil || !strings.Contains(err.Error(), "listen") || !strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) {
		t.Errorf("the second start ended with %v", err)
	}
	checkServesTwoCalls(t, d.Addr)
}

// A discovery service that lost its state before the daemon started sends only an empty complete
// list. The list that the daemon was configured with must stay in use.
func TestEmptyFirstListIsRejected(t *testing.T) {
	site, _ := startDaemon(t, 2, 0, 0)
	asked := make(chan string, 1000)
	lost := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(w, `{"index":9,"snapshot":true,"endpoints":[]}`)
		w.(http.Flusher).Flush()
		asked <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	defer lost.Close()
	c := loadConfig(t, bytes.Replace(site.PlatformConfig("127.0.0.1:0", 1), []byte(site.Discovery.Addr()), []byte(lost.Listener.Addr().String()), 1))
	term, addr, done := make(chan os.Signal, 1), make(chan string, 1), make(chan error, 1)
	go func() { done <- daemon.Run(c, term, nil, func(a net.Addr) { addr <- a.String() }) }()
	// The second request shows that the daemon has rejected the first answer.
	for _, want := range []string{"watch=1&after=1", "watch=1"} {
		select {
		case got := <-asked:
			if got != want {
				t.Errorf("asked %q, want %q", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("never asked %q", want)
		}
	}
	checkServesTwoCalls(t, <-addr)
	term <- syscall.SIGTERM
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func loadConfig(t *testing.T, text []byte) *config.Config {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.Load(func(name string) string { return map[string]string{"BALANCER_CONFIG": path}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func checkServesTwoCalls(t *testing.T, addr string) {
	t.Helper()
	client := standin.NewClient(addr)
	defer client.Close()
	for _, id := range []string{"a", "b"} {
		if r := client.Do(context.Background(), standin.ClientRequest{ID: id, Class: check}); r.Verdict() != "served" {
			t.Errorf("call %s: %s", id, r.Verdict())
		}
	}
}
