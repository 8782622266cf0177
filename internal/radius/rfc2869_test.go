package radius

import (
	"bytes"
	"crypto/hmac"
	"crypto/md5"
	"encoding/binary"
	"testing"
)

// onWire is a packet put together by hand, attribute after attribute as RFC 2869 draws
// them: type, length with both, value.
func onWire(code, id byte, auth [16]byte, attrs ...[]byte) []byte {
	b := append([]byte{code, id, 0, 0}, auth[:]...)
	for _, a := range attrs {
		b = append(b, a...)
	}
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	return b
}

func attr(t byte, value ...byte) []byte { return append([]byte{t, byte(2 + len(value))}, value...) }

// vouch fills in a Message-Authenticator as section 5.14 defines it: HMAC-MD5 over the
// whole packet, with 16 zero octets in its place and the request's authenticator in the
// authenticator's. It must be the first attribute of b.
func vouch(b []byte, request [16]byte, secret string) {
	whole := bytes.Clone(b)
	copy(whole[4:20], request[:])
	clear(whole[22:38])
	h := hmac.New(md5.New, []byte(secret))
	h.Write(whole)
	copy(b[22:38], h.Sum(nil))
}

// respond fills in a Response Authenticator (RFC 2865 section 3).
func respond(b []byte, request [16]byte, secret string) {
	copy(b[4:20], request[:])
	sum := md5.Sum(append(bytes.Clone(b), secret...))
	copy(b[4:20], sum[:])
}

// RFC 2869 has no packets in figures. These are the exchange of its section 2.3.1 (EAP
// with a one-time password) and the attributes of section 5 as they are drawn there,
// worked out by hand, through a proxy: what a server gets, and what the terminal does.
func TestRFC2869Exchange(t *testing.T) {
	const terminals, servers = "of the terminals", "of the servers"
	state := []byte("01234567")
	blank := attr(80, make([]byte, 16)...)
	identity := attr(79, 2, 1, 0, 9, 1, 'M', 'y', 'I', 'D')                                // EAP-Response/Identity
	ask := attr(79, 1, 2, 0, 8, 5, 'o', 't', 'p')                                          // EAP-Request/OTP
	otp := [][]byte{attr(79, 2, 2, 0, 12, 5), attr(79, 'w', 'o', 'r', 'd', 's', '6', '7')} // one EAP packet in two attributes
	success := attr(79, 3, 2, 0, 4)
	name := attr(1, []byte("MyID")...)
	theirs := attr(24, 0xc0, 0xff, 0xee)
	mine := attr(33, state...)
	for n, step := range []struct {
		request []([]byte)
		code    byte
		answer  []([]byte)
	}{
		{[][]byte{name, identity}, 11, [][]byte{ask, theirs}},
		{[][]byte{name, otp[0], otp[1], theirs}, 2, [][]byte{success, attr(85, 0, 0, 2, 88)}}, // Acct-Interim-Interval 600
	} {
		near, far := [16]byte{1, byte(n)}, [16]byte{2, byte(n)}
		wire := onWire(1, 7, near, append([][]byte{blank}, step.request...)...)
		vouch(wire, near, terminals)
		p, err := Parse(wire)
		if err != nil {
			t.Fatal(err)
		}
		if err := p.VerifyRequest([]byte(terminals), true); err != nil {
			t.Errorf("step %d: %v", n, err)
		}
		out, hop, err := Forward(p, Hop{[]byte(terminals), near}, []byte(servers), 9, far, state)
		if err != nil {
			t.Fatal(err)
		}
		want := onWire(1, 9, far, append(append([][]byte{blank}, step.request...), mine)...)
		vouch(want, far, servers)
		if got := out.Marshal(); !bytes.Equal(got, want) {
			t.Errorf("step %d: the server gets\n%x, want\n%x", n, got, want)
		}
		back := onWire(step.code, 9, [16]byte{}, append(append([][]byte{blank}, step.answer...), mine)...)
		vouch(back, far, servers)
		respond(back, far, servers)
		a, err := Parse(back)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.VerifyAnswer([]byte(servers), hop.Authenticator, true); err != nil {
			t.Errorf("step %d: %v", n, err)
		}
		mineAgain, err := Return(a, p, hop, Hop{[]byte(terminals), near}, state)
		if err != nil {
			t.Fatal(err)
		}
		wantBack := onWire(step.code, 7, [16]byte{}, append([][]byte{blank}, step.answer...)...)
		vouch(wantBack, near, terminals)
		respond(wantBack, near, terminals)
		if got := mineAgain.Marshal(); !bytes.Equal(got, wantBack) {
			t.Errorf("step %d: the terminal gets\n%x, want\n%x", n, got, wantBack)
		}
		// EAP without Message-Authenticator is dropped whatever the settings (section 5.13).
		bare, err := Parse(onWire(1, 7, near, step.request...))
		if err != nil {
			t.Fatal(err)
		}
		if err := bare.VerifyRequest([]byte(terminals), false); err != ErrUnsigned {
			t.Errorf("step %d: EAP without Message-Authenticator: %v", n, err)
		}
	}
}

// The attributes of RFC 2869 that accounting brings are handed on octet for octet.
func TestRFC2869Accounting(t *testing.T) {
	const terminals, servers = "of the terminals", "of the servers"
	attrs := [][]byte{
		attr(40, 0, 0, 0, 3),                              // Interim-Update (section 2.1)
		attr(44, []byte("s1")...),                         //
		attr(52, 0, 0, 0, 1),                              // Acct-Input-Gigawords (5.1)
		attr(53, 0, 0, 0, 2),                              // Acct-Output-Gigawords (5.2)
		attr(55, 0x6a, 0xb1, 0x3b, 0x80),                  // Event-Timestamp (5.3)
		attr(77, []byte("28800/V42BIS/LAPM")...),          // Connect-Info (5.11)
		attr(87, []byte("port 7")...),                     // NAS-Port-Id (5.17)
		attr(88, []byte("pool")...),                       // Framed-Pool (5.18)
		attr(26, 0, 0, 0, 9, 1, 6, 'c', 'i', 's', 'c'),    // a vendor's own
		attr(33, []byte("the terminal's own state")...),   //
		attr(33, []byte("and another, in this order")...), //
	}
	seal := func(b []byte, secret string) { respond(b, [16]byte{}, secret) } // RFC 2866 section 3
	wire := onWire(4, 7, [16]byte{}, attrs...)
	seal(wire, terminals)
	p, err := Parse(wire)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.VerifyRequest([]byte(terminals), true); err != nil {
		t.Error(err)
	}
	out, _, err := Forward(p, Hop{[]byte(terminals), p.Authenticator}, []byte(servers), 9, Authenticator{}, []byte("ours"))
	if err != nil {
		t.Fatal(err)
	}
	want := onWire(4, 9, [16]byte{}, append(attrs, attr(33, []byte("ours")...))...)
	seal(want, servers)
	if got := out.Marshal(); !bytes.Equal(got, want) {
		t.Errorf("the server gets\n%x, want\n%x", got, want)
	}
}
