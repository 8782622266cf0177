package daemon_test

import (
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
	lr "layeh.com/radius"
)

// freeUDP returns a loopback address whose UDP port is free.
func freeUDP(t *testing.T) string {
	conn, err := net.ListenPacket("udp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// Terminals send accounting events over a path that loses packets, while the daemon is restarted
// twice with SIGTERM. Each event must be answered and counted exactly once, also if its answer was
// lost before a restart.
func TestRadiusEventsCountOnceOverRestarts(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "fawnrock")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/fawnrock").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	ledger := standin.NewRadiusLedger()
	var servers strings.Builder
	for n := range 2 {
		s, err := standin.NewRadiusServer(fmt.Sprint("r", n+1), "of the servers", ledger)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.SetScript(func(seen standin.RadiusRequest) standin.RadiusAction {
			if strings.Contains(seen.Name, "slow") { // longer than the minimum shutdown time
				return standin.RadiusAction{Delay: 1200 * time.Millisecond}
			}
			return standin.RadiusAction{Delay: 10 * time.Millisecond}
		})
		fmt.Fprintf(&servers, "[[radius.servers]]\nname = %q\nauth = %q\nacct = %q\nsecret = \"of the servers\"\n", s.Name, s.Addr(), s.Addr())
	}
	auth, acct, memory := freeUDP(t), freeUDP(t), filepath.Join(t.TempDir(), "memory")
	features := fmt.Sprintf("[radius]\nenabled = true\nauth = %q\nacct = %q\nremember_file = %q\ncalls_each = 1000\n[radius.accounting]\nresends = 0\n[[radius.clients]]\nrange = \"127.0.0.0/8\"\nsecret = \"of the terminals\"\n%s", auth, acct, memory, servers.String())
	site, err := rig.NewSite(rig.SiteConfig{Servers: 1, Classes: rig.ActivationClasses()})
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	d, err := site.StartProcess(binary, 1, features)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	relay, err := standin.NewRelay(acct, 1, 0.2, 0.05, 0.05)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	client := standin.NewRadiusClient(relay.Addr(), "of the terminals", "")
	began := time.Now()
	var mu sync.Mutex
	asked, silent := 0, 0
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for w := range 20 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				reply := client.Do(standin.RadiusClientRequest{NAS: "shop", Session: fmt.Sprint(w, "-", n), Status: 1, EventTime: began, MaxPackets: 400, ResendInterval: 50 * time.Millisecond, NewID: n%2 == 1})
				mu.Lock()
				asked++
				if reply.Code != lr.CodeAccountingResponse {
					silent++
				}
				mu.Unlock()
			}
		})
	}
	for n := range 2 {
		time.Sleep(300 * time.Millisecond)
		// A terminal that gets no answer until the daemon has stopped.
		unlucky := standin.RadiusClientRequest{NAS: "shop", Session: fmt.Sprint("unlucky-", n), Status: 1, EventTime: began, MaxPackets: 20, ResendInterval: time.Second}
		straight := standin.NewRadiusClient(acct, "of the terminals", "")
		straight.Send(straight.Encode(unlucky, 1, [16]byte{}, 0))
		for end := time.Now().Add(20 * time.Second); ledger.Count(fmt.Sprintf("shop %s 1 %d", unlucky.Session, began.Unix())).Effects == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the event is not counted")
			}
		}
		slow := unlucky
		slow.Session = fmt.Sprint("slow-", n)
		straight.Send(straight.Encode(slow, 2, [16]byte{}, 0))
		for end := time.Now().Add(20 * time.Second); ledger.Count(fmt.Sprintf("shop %s 1 %d", slow.Session, began.Unix())).Effects == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the event is not counted")
			}
		}
		if err := d.Stop(); err != nil {
			t.Errorf("%v\n%s", err, d.Log())
		}
		if err := d.Start(); err != nil {
			t.Fatal(err)
		}
		for _, a := range []standin.RadiusClientRequest{unlucky, slow} {
			if reply := straight.Do(a); reply.Code != lr.CodeAccountingResponse {
				t.Errorf("%s: %+v", a.Session, reply)
			}
		}
		mu.Lock()
		asked += 2
		mu.Unlock()
	}
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	access := standin.NewRadiusClient(auth, "of the terminals", "").Do(standin.RadiusClientRequest{User: "nemo", Password: "1234", NAS: "shop", MaxPackets: 10, ResendInterval: time.Second})
	if access.Code != lr.CodeAccessAccept {
		t.Errorf("access request: %+v, want an accept", access)
	}
	all := ledger.Counts()
	delete(all, "nemo")
	twice := 0
	for name, c := range all {
		if c.Effects != 1 {
			twice++
			t.Errorf("%s: %+v", name, c)
		}
	}
	if silent > 0 || asked == 0 || len(all) != asked {
		t.Errorf("%d events sent, %d without an answer, %d counted", asked, silent, len(all))
	}
	if !strings.Contains(d.Log(), "radius: remembered from before the start") || strings.Contains(d.Log(), "of the ") {
		t.Errorf("log:\n%s", d.Log())
	}
	t.Logf("%d events, all answered, %d not counted exactly once", asked, twice)
}
