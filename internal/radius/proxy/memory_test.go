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

// again ends a rig's proxy as SIGTERM does, and starts another for the same file.
func (r *rig) again() {
	r.p.ShutDownWithin(time.Second)
	settle(r.t, "held", func() bool { return r.p.Held() == 0 })
	sec := r.p.cfg.Radius
	r.p.Close()
	p, err := New(Config{Radius: sec, Base: base(), Grace: 2 * time.Second, Seed: 2})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(p.Close)
	r.p = p
}

// rememberer has a proxy that is closed by again alone.
func rememberer(t *testing.T) *rig {
	file := filepath.Join(t.TempDir(), "memory")
	r := &rig{t: t, ledger: standin.NewRadiusLedger()}
	s, err := standin.NewRadiusServer("r1", ofServer+"r1", r.ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	r.servers = append(r.servers, s)
	sec := section()
	sec.RememberFile = file
	sec.Accounting.AttemptTimeout, sec.Accounting.Deadline, sec.Accounting.Aim, sec.Accounting.MaxResends = ms(900), ms(1000), ms(500), 0
	sec.Servers = []features.RadiusServer{{Name: "r1", Auth: s.Addr(), Acct: s.Addr(), Secret: ofServer + "r1"}}
	if r.p, err = New(Config{Radius: sec, Base: base(), Grace: 2 * time.Second, Seed: 1}); err != nil {
		t.Fatal(err)
	}
	return r
}

// An event that was answered before a restart by SIGTERM gets that answer after it, also
// in a packet of its own; one that may have been counted is not sent again.
func TestRestart(t *testing.T) {
	r := rememberer(t)
	r.servers[0].Do(func(s standin.RadiusSeen) standin.RadiusAct {
		if s.Name == eventName("silent", 1) {
			return standin.RadiusAct{Kind: standin.RadiusSilent}
		}
		return standin.RadiusAct{}
	})
	c := r.client(true)
	answered := c.Packet(event("answered", 1), 1, [16]byte{}, 0)
	if reply := c.Exchange(answered, patience); reply.Code != lr.CodeAccountingResponse {
		t.Fatalf("%+v", reply)
	}
	c.Throw(c.Packet(event("silent", 1), 2, [16]byte{}, 0))
	settle(t, "given up", func() bool { l, _ := r.p.Counts(true); return l.GivenUp == 1 })
	r.again()
	r.servers[0].Do(func(standin.RadiusSeen) standin.RadiusAct { return standin.RadiusAct{} })
	if info, err := os.Stat(r.p.cfg.Radius.RememberFile); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v %v", info, err)
	}
	c = r.client(true)
	for name, wire := range map[string][]byte{"the packet": answered, "the event": c.Packet(event("answered", 1), 3, [16]byte{}, 5*time.Second)} {
		if reply := c.Exchange(wire, patience); reply.Code != lr.CodeAccountingResponse {
			t.Errorf("%s: %+v", name, reply)
		}
	}
	c.Throw(c.Packet(event("silent", 1), 4, [16]byte{}, 5*time.Second))
	settle(t, "lost", func() bool { l, _ := r.p.Counts(true); return l.Lost == 1 && l.GivenUp == 1 })
	if reply := c.Exchange(c.Packet(event("other", 1), 5, [16]byte{}, 0), patience); reply.Code != lr.CodeAccountingResponse {
		t.Errorf("%+v", reply)
	}
	for _, name := range []string{"answered", "silent", "other"} {
		if n := r.ledger.Of(eventName(name, 1)); n.Effects != 1 || n.Packets != 1 {
			t.Errorf("%s: %+v", name, n)
		}
	}
	var saved bytes.Buffer
	if err := r.p.sides[1].listener.Save(&saved); err != nil || !bytes.Contains(saved.Bytes(), []byte(`"MayHaveRun":"r1"`)) {
		t.Errorf("lost again, and not handed on: %v %s", err, saved.Bytes())
	}
}

// From SIGTERM on nothing new is taken, so that the end comes; what is under way is
// joined and answered.
func TestDrainListener(t *testing.T) {
	r := rememberer(t)
	defer r.p.Close()
	hold := make(chan struct{})
	r.servers[0].Do(func(standin.RadiusSeen) standin.RadiusAct {
		<-hold
		return standin.RadiusAct{}
	})
	c := r.client(true)
	wire := c.Packet(event("held", 1), 1, [16]byte{}, 0)
	c.Throw(wire)
	settle(t, "taken", func() bool { return r.p.Held() == 1 })
	r.p.ShutDownWithin(patience)
	c.Throw(c.Packet(event("new", 1), 2, [16]byte{}, 0))
	settle(t, "dropped", func() bool { l, _ := r.p.Counts(true); return l.Full == 1 })
	close(hold)
	if reply := c.Exchange(wire, patience); reply.Code != lr.CodeAccountingResponse {
		t.Errorf("%+v", reply)
	}
	if n := r.ledger.Of(eventName("new", 1)); n.Packets != 0 {
		t.Errorf("%+v", n)
	}
}

// A file that is none of ours, or not whole, stops no start and spoils no memory.
func TestBadMemory(t *testing.T) {
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
			r := start(t, 1, func(s *features.Radius) { s.RememberFile = file })
			l := r.p.sides[1].listener
			var left bytes.Buffer
			if err := l.Save(&left); err != nil || bytes.Contains(left.Bytes(), []byte("Authenticator")) {
				t.Errorf("%v %s", err, left.Bytes())
			}
			if reply := r.client(true).Do(event("e", 1)); reply.Code != lr.CodeAccountingResponse {
				t.Errorf("%+v", reply)
			}
		})
	}
}
