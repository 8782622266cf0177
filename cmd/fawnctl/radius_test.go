package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/standin"
)

// The three requests against a stand-in server, whose codec is another than ours.
func TestRadiusSend(t *testing.T) {
	ledger := standin.NewRadiusLedger()
	server, err := standin.NewRadiusServer("r1", "of the shop", ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.Do(func(s standin.RadiusSeen) standin.RadiusAct {
		switch {
		case strings.HasPrefix(s.Name, "asked"):
			return standin.RadiusAct{Kind: standin.RadiusChallenge}
		case strings.HasPrefix(s.Name, "bare"):
			return standin.RadiusAct{Kind: standin.RadiusUnsigned}
		case strings.Contains(s.Name, "quiet"):
			return standin.RadiusAct{Kind: standin.RadiusSilent}
		case s.Packet.Code.String() == "Access-Request" && s.Password != "1234" && !strings.HasPrefix(s.Name, "chap"):
			return standin.RadiusAct{Kind: standin.RadiusReject}
		}
		return standin.RadiusAct{}
	})
	dead, err := standin.NewRadiusServer("r2", "of the shop", ledger)
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	secret, wrong, long := filepath.Join(t.TempDir(), "secret"), filepath.Join(t.TempDir(), "wrong"), filepath.Join(t.TempDir(), "long")
	for path, text := range map[string]string{secret: "of the shop\n", wrong: "another\n", long: strings.Repeat("x", 5000)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("FAWN_RADIUS_PASSWORD", "1234")
	t.Setenv("FAWN_RADIUS_SECRET", "")
	to := " --wait 5s --to " + server.Addr() + " --secret-file " + secret + " "
	brief := " --wait 30ms --tries 2 --to " + server.Addr() + " --secret-file "
	for _, c := range []example{
		{"access --user nemo" + to, 0, "Access-Accept", ""},
		{"access --user nemo" + to, 0, `Reply-Message = "welcome from r1"`, ""},
		{"access --user chap --chap" + to, 0, "Access-Accept", ""},
		{"access --user asked" + to, 0, "State = 7374617465", ""},
		{"access --user asked --state 00ff" + to, 0, "Access-Accept", ""},
		{"access --user asked --state xx" + to, 1, "", "--state"},
		{"access --user nemo --password-file " + wrong + to, 1, "Access-Reject", "rejected"},
		{"access --user bare" + brief + secret, 1, "", "2 datagrams dropped"},
		{"access --user bare --unsigned" + to, 0, "Access-Accept", ""},
		{"access --user nemo" + brief + wrong, 1, "", "no answer to 2 packets"},
		{"access --user nemo" + brief + long, 1, "", "4096"},
		{"access --user nemo --to " + server.Addr(), 1, "", "no secret"},
		{"access --user " + strings.Repeat("u", 300) + to, 1, "", "--user"},
		{"access --user nemo --id 256" + to, 1, "", "--id"},
		{"access --user nemo --tries 0" + to, 1, "", "tries"},
		{"access --user nemo --to here --secret-file " + secret, 1, "", "--to"},
		{"access" + to, 1, "", "--user"},
		{"accounting --session s1 --at 7 --id 3" + to, 0, "Accounting-Response", ""},
		{"accounting --session s1 --at 7 --id 3" + to, 0, "Accounting-Response", ""},
		{"accounting --session s1 --event later" + to, 1, "", "--event"},
		{"accounting --session quiet" + brief + secret, 1, "", "no answer to 2 packets"},
		{"status" + to, 0, "Message-Authenticator is right", ""},
		{"status --wait 30ms --to " + dead.Addr() + " --secret-file " + secret, 1, "", "refused"},
	} {
		all := c.try(t, "radius", "send")
		if strings.Contains(all, "of the shop") || strings.Contains(all, "1234") {
			t.Errorf("%s: a secret shows", c.args)
		}
	}
	if n := ledger.Of("fawnctl s1 1 7"); n.Effects != 2 { // each run has a port of its own, as another terminal
		t.Errorf("%+v", n)
	}
}
