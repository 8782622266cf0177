package protocol

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"chalkrack/client"
	"chalkrack/internal/duration"
	"chalkrack/internal/load"
	"chalkrack/internal/load/schedule"
	"chalkrack/internal/standin"
)

// scenario sends a few calls of all three effects within a second.
func scenario(t *testing.T) *load.Scenario {
	t.Helper()
	s, err := load.ParseScenario([]byte("version = 1\nlength = \"1s\"\n[limits]\nlag = \"10s\"\ncpu = 1000.0\n[[arrivals]]\nkind = \"constant\"\nrate = 60\n"))
	if err != nil {
		t.Fatal(err)
	}
	s.Arrivals = []schedule.Shape{{Kind: "constant", Rate: 60}}
	for n := range s.Classes { // slow machines are not the matter here
		s.Classes[n].Aim, s.Classes[n].Deadline = duration.Duration(10*time.Second), duration.Duration(10*time.Second)
	}
	return s
}

func play(t *testing.T, s *load.Scenario, p load.Protocol) *load.Report {
	t.Helper()
	cfg, end, err := s.Run(load.Config{Protocol: p})
	if err != nil {
		t.Fatal(err)
	}
	defer end()
	rep, err := load.Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// Through the plug-in each call arrives with its class, key and body, and a server that
// turns calls away shows as the plug-in's own answer, not as none.
func TestPlugin(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprint("refuse ", refuse), func(t *testing.T) {
			ledger := standin.NewLedger(time.Minute)
			act := standin.Act{}
			if refuse {
				act.Kind = standin.Decline
			}
			server, err := standin.NewServer(standin.ServerConfig{Name: "s", Ledger: ledger, Script: standin.Always(act)})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			s := scenario(t)
			p, err := NewPlugin(client.Config{Nodes: []client.Node{{Address: server.Addr()}}, Seed: 1}, s.Classes)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			rep := play(t, s, p)
			for _, c := range rep.Classes {
				if c.None != 0 || !refuse && c.Served != c.Sent || refuse && c.Refused != c.Sent {
					t.Errorf("%+v", c)
				}
			}
			if refuse {
				return
			}
			bodies := 0
			for _, a := range ledger.Log() {
				if a.Size > 0 {
					bodies++
				}
			}
			if got := rep.Classes[1].Sent + rep.Classes[2].Sent; int64(bodies) != got {
				t.Errorf("%d bodies arrived, %d were sent", bodies, got)
			}
		})
	}
}

// Over RADIUS what carries a key is one event, though its packets come again, and a
// reject is an answer that is not asked for again.
func TestRADIUS(t *testing.T) {
	ledger := standin.NewRadiusLedger()
	server, err := standin.NewRadiusServer("s", "secret", ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.Do(func(seen standin.RadiusSeen) standin.RadiusAct {
		if seen.Password == "" { // accounting: the first packet's answer is late
			return standin.RadiusAct{Delay: 150 * time.Millisecond}
		}
		return standin.RadiusAct{Kind: standin.RadiusReject}
	})
	s := scenario(t)
	addr := netip.MustParseAddrPort(server.Addr())
	rep := play(t, s, &RADIUS{Access: addr, Accounting: addr, Secret: []byte("secret"), Resend: 50 * time.Millisecond})
	for n, c := range rep.Classes {
		if c.None != 0 || c.Retries != 0 || n == 1 && c.Served != c.Sent || n != 1 && c.Failed != c.Sent {
			t.Errorf("%+v", c)
		}
	}
	packets, effects := 0, 0
	for _, c := range ledger.All() {
		packets, effects = packets+c.Packets, max(effects, c.Effects)
	}
	if int64(packets) <= rep.Sent || effects != 1 {
		t.Errorf("%d packets of %d calls, most effects of one %d", packets, rep.Sent, effects)
	}
}
