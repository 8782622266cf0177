package daemon_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"chalkrack/internal/rig"
	"chalkrack/internal/standin"
	lr "layeh.com/radius"
)

// Guards against a server out by hand that RADIUS goes on using: from the yes on neither access nor an
// accounting event comes to it, whether servers are fixed or come from discovery; called back, it is
// served again, cold.
func TestDisabledServerGetsNoRadius(t *testing.T) {
	for _, fromDiscovery := range []bool{false, true} {
		t.Run(fmt.Sprint("from discovery ", fromDiscovery), func(t *testing.T) {
			ledger := standin.NewRadiusLedger()
			var servers []*standin.RadiusServer
			var endpoints []standin.Endpoint
			fixed := ""
			for n := range 3 {
				s, err := standin.NewRadiusServer(fmt.Sprint("r", n+1), "of the servers", ledger)
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				servers = append(servers, s)
				endpoints = append(endpoints, standin.Endpoint{Name: s.Name, Address: s.Addr(), Zone: "z", Status: "up", Weight: 1})
				fixed += fmt.Sprintf("[[radius.servers]]\nname = %q\nauth = %q\nacct = %q\nsecret = \"of the servers\"\n", s.Name, s.Addr(), s.Addr())
			}
			auth, acct := freeUDP(t), freeUDP(t)
			features := fmt.Sprintf("[radius]\nenabled = true\nauth = %q\nacct = %q\n", auth, acct)
			clients := "[[radius.clients]]\nrange = \"127.0.0.0/8\"\nsecret = \"of the terminals\"\n"
			if fromDiscovery {
				discovery, err := standin.NewDiscovery(endpoints...)
				if err != nil {
					t.Fatal(err)
				}
				defer discovery.Close()
				features += fmt.Sprintf("auth_discovery = %q\nacct_discovery = %[1]q\ndiscovery_secret = \"of the servers\"\n", discovery.Addr())
				fixed = ""
			}
			cfg := rig.SiteConfig{Servers: 1, Classes: rig.ActivationClasses(), HasManagement: true, ColdShare: 0.1, WarmUpTime: time.Minute}
			cfg.Server.FallFactor, cfg.Server.FallFor = 4, 2*time.Second
			site, err := rig.NewSite(cfg)
			if err != nil {
				t.Fatal(err)
			}
			defer site.Close()
			d, err := site.StartDaemon(1, features+clients+fixed)
			if err != nil {
				t.Fatal(err)
			}
			defer d.Stop()
			operate := func(line string) {
				if answer, err := d.Operate(line); err != nil || answer != "YES" {
					t.Fatalf("%s: %q, %v", line, answer, err)
				}
			}
			began := time.Now()
			events, access := standin.NewRadiusClient(acct, "of the terminals", ""), standin.NewRadiusClient(auth, "of the terminals", "")
			send := func(step string, calls int) (byFirst int) {
				for n := range calls {
					name := fmt.Sprint(step, "-", n)
					reply := events.Do(standin.RadiusClientRequest{NAS: "shop", Session: name, Status: 1, EventTime: began, MaxPackets: 20, ResendInterval: time.Second})
					if reply.Code != lr.CodeAccountingResponse {
						t.Errorf("%s: %+v", name, reply)
					}
					reply = access.Do(standin.RadiusClientRequest{User: name, Password: "1234", NAS: "shop", MaxPackets: 20, ResendInterval: time.Second})
					if reply.Code != lr.CodeAccessAccept {
						t.Errorf("access of %s: %+v", name, reply)
					}
				}
				for _, name := range servers[0].ReceivedNames() {
					if strings.Contains(name, step+"-") {
						byFirst++
					}
				}
				return byFirst
			}
			if n := send("before", 40); n < 10 {
				t.Errorf("%d of 80 calls came to r1 at the start", n)
			}
			operate("DISABLE r1")
			if n := send("out", 40); n > 0 {
				t.Errorf("%d of 80 calls came to r1 after the yes", n)
			}
			operate("ENABLE r1")
			back := 0
			for round := 0; back == 0 && round < 20; round++ {
				if back = send(fmt.Sprint("back", round), 40); back > 16 {
					t.Errorf("%d of 80 calls came to r1 after the call back, want a few", back)
				}
			}
			if back == 0 {
				t.Error("r1 gets no calls after the call back")
			}
		})
	}
}
