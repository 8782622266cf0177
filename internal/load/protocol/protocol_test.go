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

// newScenario returns a scenario that sends a few calls of all three effects within a second.
func newScenario(t *testing.T) *load.Scenario {
	t.Helper()
	scenario, err := load.ParseScenario([]byte("version = 1\nlength = \"1s\"\n[limits]\nlag = \"10s\"\ncpu = 1000.0\n[[arrivals]]\nkind = \"constant\"\nrate = 60\n"))
	if err != nil {
		t.Fatal(err)
	}
	scenario.Arrivals = []schedule.Shape{{Kind: "constant", Rate: 60}}
	for n := range scenario.Classes { // long enough for a slow machine
		scenario.Classes[n].Aim, scenario.Classes[n].Deadline = duration.Duration(10*time.Second), duration.Duration(10*time.Second)
	}
	return scenario
}

// runScenario runs a scenario over a protocol.
func runScenario(t *testing.T, scenario *load.Scenario, protocol load.Protocol) *load.Report {
	t.Helper()
	cfg, closeSource, err := scenario.Configure(load.Config{Protocol: protocol})
	if err != nil {
		t.Fatal(err)
	}
	defer closeSource()
	report, err := load.Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// Each call sent through the plug-in must reach the server with its class, key and body. If the
// server refuses all calls, the plug-in's own refusal must be counted as refused, not as no answer.
func TestPlugin(t *testing.T) {
	for _, refuse := range []bool{false, true} {
		t.Run(fmt.Sprint("refuse ", refuse), func(t *testing.T) {
			ledger := standin.NewLedger(time.Minute)
			act := standin.Action{}
			if refuse {
				act.Kind = standin.Decline
			}
			server, err := standin.NewServer(standin.ServerConfig{Name: "s", Ledger: ledger, Script: standin.Always(act)})
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			scenario := newScenario(t)
			plugin, err := NewPlugin(client.Config{Nodes: []client.Node{{Address: server.Addr()}}, Seed: 1}, scenario.Classes)
			if err != nil {
				t.Fatal(err)
			}
			defer plugin.Close()
			report := runScenario(t, scenario, plugin)
			for _, c := range report.Classes {
				if c.NoAnswer != 0 || !refuse && c.Served != c.Sent || refuse && c.Refused != c.Sent {
					t.Errorf("%+v", c)
				}
			}
			if refuse {
				return
			}
			bodies := 0
			for _, a := range ledger.Arrivals() {
				if a.BodySize > 0 {
					bodies++
				}
			}
			if got := report.Classes[1].Sent + report.Classes[2].Sent; int64(bodies) != got {
				t.Errorf("%d bodies arrived, want %d as sent", bodies, got)
			}
		})
	}
}

// An accounting packet that is resent because its answer is late must count as one event, and a
// reject is a final answer that clients do not retry.
func TestRADIUS(t *testing.T) {
	ledger := standin.NewRadiusLedger()
	server, err := standin.NewRadiusServer("s", "secret", ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.SetScript(func(seen standin.RadiusRequest) standin.RadiusAction {
		if seen.Password == "" { // accounting: answered after Resend, so the packet is sent again
			return standin.RadiusAction{Delay: 150 * time.Millisecond}
		}
		return standin.RadiusAction{Kind: standin.RadiusReject}
	})
	scenario := newScenario(t)
	addr := netip.MustParseAddrPort(server.Addr())
	report := runScenario(t, scenario, &RADIUS{Access: addr, Accounting: addr, Secret: []byte("secret"), Resend: 50 * time.Millisecond})
	for n, c := range report.Classes {
		if c.NoAnswer != 0 || c.Retries != 0 || n == 1 && c.Served != c.Sent || n != 1 && c.Failed != c.Sent {
			t.Errorf("%+v", c)
		}
	}
	packets, effects := 0, 0
	for _, c := range ledger.Counts() {
		packets, effects = packets+c.Packets, max(effects, c.Effects)
	}
	if int64(packets) <= report.Sent || effects != 1 {
		t.Errorf("%d packets for %d calls, want more packets than calls; up to %d effects per call, want 1", packets, report.Sent, effects)
	}
}
