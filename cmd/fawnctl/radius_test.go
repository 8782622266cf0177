package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkrack/internal/standin"
)

// Guards the output and exit status of the three requests. The stand-in server encodes packets with
// another library, so an error in our codec shows. No output may contain a secret.
func TestRadiusSend(t *testing.T) {
	ledger := standin.NewRadiusLedger()
	server, err := standin.NewRadiusServer("r1", "of the shop", ledger)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	server.SetScript(func(s standin.RadiusRequest) standin.RadiusAction {
		switch {
		case strings.HasPrefix(s.Name, "asked"):
			return standin.RadiusAction{Kind: standin.RadiusChallenge}
		case strings.HasPrefix(s.Name, "bare"):
			return standin.RadiusAction{Kind: standin.RadiusUnsigned}
		case strings.Contains(s.Name, "quiet"):
			return standin.RadiusAction{Kind: standin.RadiusSilent}
		case s.Packet.Code.String() == "Access-Request" && s.Password != "1234" && !strings.HasPrefix(s.Name, "chap"):
			return standin.RadiusAction{Kind: standin.RadiusReject}
		}
		return standin.RadiusAction{}
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
	validFlags := " --wait 5s --to " + server.Addr() + " --secret-file " + secret + " "
	shortWaitFlags := " --wait 30ms --tries 2 --to " + server.Addr() + " --secret-file "
	for _, c := range []commandCase{
		{"access --user nemo" + validFlags, 0, "Access-Accept", ""},
		{"access --user nemo" + validFlags, 0, `Reply-Message = "welcome from r1"`, ""},
		{"access --user chap --chap" + validFlags, 0, "Access-Accept", ""},
		{"access --user asked" + validFlags, 0, "State = 7374617465", ""},
		{"access --user asked --state 00ff" + validFlags, 0, "Access-Accept", ""},
		{"access --user asked --state xx" + validFlags, 1, "", "--state"},
		{"access --user nemo --password-file " + wrong + validFlags, 1, "Access-Reject", "rejected"},
		{"access --user bare" + shortWaitFlags + secret, 1, "", "2 datagrams dropped"},
		{"access --user bare --unsigned" + validFlags, 0, "Access-Accept", ""},
		{"access --user nemo" + shortWaitFlags + wrong, 1, "", "no answer to 2 packets"},
		{"access --user nemo" + shortWaitFlags + long, 1, "", "4096"},
		{"access --user nemo --to " + server.Addr(), 1, "", "no secret"},
		{"access --user " + strings.Repeat("u", 300) + validFlags, 1, "", "--user"},
		{"access --user nemo --id 256" + validFlags, 1, "", "--id"},
		{"access --user nemo --tries 0" + validFlags, 1, "", "tries"},
		{"access --user nemo --to here --secret-file " + secret, 1, "", "--to"},
		{"access" + validFlags, 1, "", "--user"},
		{"accounting --session s1 --at 7 --id 3" + validFlags, 0, "Accounting-Response", ""},
		{"accounting --session s1 --at 7 --id 3" + validFlags, 0, "Accounting-Response", ""},
		{"accounting --session s1 --event later" + validFlags, 1, "", "--event"},
		{"accounting --session quiet" + shortWaitFlags + secret, 1, "", "no answer to 2 packets"},
		{"status" + validFlags, 0, "Message-Authenticator is right", ""},
		{"status --wait 30ms --to " + dead.Addr() + " --secret-file " + secret, 1, "", "refused"},
	} {
		output := c.runAndCheck(t, "radius", "send")
		if strings.Contains(output, "of the shop") || strings.Contains(output, "1234") {
			t.Errorf("%s: the output contains a secret", c.args)
		}
	}
	// Each run sends from its own port, so the server sees two terminals.
	if n := ledger.Count("fawnctl s1 1 7"); n.Effects != 2 {
		t.Errorf("%+v", n)
	}
}
