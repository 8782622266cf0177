package proxy

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chalkrack/internal/features"
	"chalkrack/internal/standin"
	lr "layeh.com/radius"
)

// restartProxy shuts the proxy down as SIGTERM does and starts a new one with the same file of
// remembered answers.
func (f *testFixture) restartProxy() {
	f.proxy.ShutDownWithin(time.Second)
	waitUntil(f.t, "held", func() bool { return f.proxy.Held() == 0 })
	section := f.proxy.cfg.Radius
	f.proxy.Close()
	proxy, err := New(Config{Radius: section, Platform: basePlatform(), DrainGrace: 2 * time.Second, Seed: 2})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(proxy.Close)
	f.proxy = proxy
}

// startWithRememberFile starts one server and a proxy with a file of remembered answers. The
// proxy is not closed at the end of the test; the caller closes it, or restartProxy does.
func startWithRememberFile(t *testing.T) *testFixture {
	file := filepath.Join(t.TempDir(), "memory")
	fixture := &testFixture{t: t, ledger: standin.NewRadiusLedger()}
	server, err := standin.NewRadiusServer("r1", serverSecret+"r1", fixture.ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	fixture.servers = append(fixture.servers, server)
	section := defaultSection()
	section.RememberFile = file
	section.Accounting.AttemptTimeout, section.Accounting.Deadline, section.Accounting.Aim, section.Accounting.MaxResends = millis(900), millis(1000), millis(500), 0
	section.Servers = []features.RadiusServer{{Name: "r1", Auth: server.Addr(), Acct: server.Addr(), Secret: serverSecret + "r1"}}
	if fixture.proxy, err = New(Config{Radius: section, Platform: basePlatform(), DrainGrace: 2 * time.Second, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	return fixture
}

// After a restart, an accounting event that was answered before gets the same answer, also when
// the client sends it in a new packet. An event that was given up and may have been counted is not
// sent to a server again. Otherwise a restart would count events twice.
func TestRememberedAnswersAfterRestart(t *testing.T) {
	fixture := startWithRememberFile(t)
	fixture.servers[0].SetScript(func(s standin.RadiusRequest) standin.RadiusAction {
		if s.Name == eventName("silent", 1) {
			return standin.RadiusAction{Kind: standin.RadiusSilent}
		}
		return standin.RadiusAction{}
	})
	client := fixture.newClient(true)
	answered := client.Encode(eventRequest("answered", 1), 1, [16]byte{}, 0)
	if reply := client.Exchange(answered, testTimeout); reply.Code != lr.CodeAccountingResponse {
		t.Fatalf("unexpected reply: %+v", reply)
	}
	client.Send(client.Encode(eventRequest("silent", 1), 2, [16]byte{}, 0))
	waitUntil(t, "the silent event was never given up", func() bool { l, _ := fixture.proxy.Counts(true); return l.GivenUp == 1 })
	fixture.restartProxy()
	fixture.servers[0].SetScript(func(standin.RadiusRequest) standin.RadiusAction { return standin.RadiusAction{} })
	if info, err := os.Stat(fixture.proxy.cfg.Radius.RememberFile); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("the file must exist with mode 0600: %v %v", info, err)
	}
	client = fixture.newClient(true)
	for name, wire := range map[string][]byte{"the packet": answered, "the event": client.Encode(eventRequest("answered", 1), 3, [16]byte{}, 5*time.Second)} {
		if reply := client.Exchange(wire, testTimeout); reply.Code != lr.CodeAccountingResponse {
			t.Errorf("%s: unexpected reply: %+v", name, reply)
		}
	}
	client.Send(client.Encode(eventRequest("silent", 1), 4, [16]byte{}, 5*time.Second))
	waitUntil(t, "lost", func() bool { l, _ := fixture.proxy.Counts(true); return l.Lost == 1 && l.GivenUp == 1 })
	if reply := client.Exchange(client.Encode(eventRequest("other", 1), 5, [16]byte{}, 0), testTimeout); reply.Code != lr.CodeAccountingResponse {
		t.Errorf("unexpected reply: %+v", reply)
	}
	for _, name := range []string{"answered", "silent", "other"} {
		if n := fixture.ledger.Count(eventName(name, 1)); n.Effects != 1 || n.Packets != 1 {
			t.Errorf("%s: unexpected ledger entry: %+v", name, n)
		}
	}
	var saved bytes.Buffer
	if err := fixture.proxy.services[1].listener.Save(&saved); err != nil || !bytes.Contains(saved.Bytes(), []byte(`"MayHaveRun":"r1"`)) {
		t.Errorf("the event that may have been counted is missing from the saved answers: %v %s", err, saved.Bytes())
	}
}

// After the start of a shutdown, new calls are dropped, so that the shutdown ends. A
// retransmission of an open call still joins it and gets the answer.
func TestNoNewCallsDuringShutdown(t *testing.T) {
	fixture := startWithRememberFile(t)
	defer fixture.proxy.Close()
	hold := make(chan struct{})
	fixture.servers[0].SetScript(func(standin.RadiusRequest) standin.RadiusAction {
		<-hold
		return standin.RadiusAction{}
	})
	client := fixture.newClient(true)
	wire := client.Encode(eventRequest("held", 1), 1, [16]byte{}, 0)
	client.Send(wire)
	waitUntil(t, "taken", func() bool { return fixture.proxy.Held() == 1 })
	fixture.proxy.ShutDownWithin(testTimeout)
	client.Send(client.Encode(eventRequest("new", 1), 2, [16]byte{}, 0))
	waitUntil(t, "dropped", func() bool { l, _ := fixture.proxy.Counts(true); return l.TableFull == 1 })
	close(hold)
	if reply := client.Exchange(wire, testTimeout); reply.Code != lr.CodeAccountingResponse {
		t.Errorf("unexpected reply: %+v", reply)
	}
	if n := fixture.ledger.Count(eventName("new", 1)); n.Packets != 0 {
		t.Errorf("unexpected ledger entry: %+v", n)
	}
}

// A file of remembered answers that is empty, cut off, of another version or otherwise invalid
// neither prevents the start nor adds invalid entries.
func TestInvalidRememberFile(t *testing.T) {
	for name, text := range map[string]string{
		"empty": "", "other": "hello", "version": `{"Version":9}`, "cut": `{"Version":1,"Saved":"2026-01-01T00:00:00Z","Calls":[{`,
		"call": `{"Version":1,"Saved":"2026-01-01T00:00:00Z","Calls":[{"Client":"127.0.0.1","Authenticator":"AA==","Answer":"AA==","Until":"2099-01-01T00:00:00Z"}]}`,
		"long": `{"Version":1,"Saved":"2026-01-01T00:00:00Z","Calls":[{"Client":"127.0.0.1","Authenticator":"AAAAAAAAAAAAAAAAAAAAAA==","Answer":"AA==","Until":"2099-01-01T00:00:00Z"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "memory")
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			fixture := startProxy(t, 1, func(s *features.Radius) { s.RememberFile = file })
			l := fixture.proxy.services[1].listener
			var saved bytes.Buffer
			if err := l.Save(&saved); err != nil || bytes.Contains(saved.Bytes(), []byte("Authenticator")) {
				t.Errorf("the saved answers are not empty: %v %s", err, saved.Bytes())
			}
			if reply := fixture.newClient(true).Do(eventRequest("e", 1)); reply.Code != lr.CodeAccountingResponse {
				t.Errorf("unexpected reply: %+v", reply)
			}
		})
	}
}
