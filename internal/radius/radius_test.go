package radius

import (
	"bytes"
	"encoding/hex"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func unhex(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func parse(t testing.TB, text string) *Packet {
	t.Helper()
	p, err := Parse(unhex(t, text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The examples of RFC 2865 section 7.
func TestRFC2865Examples(t *testing.T) {
	secret := []byte("xyzzy5461")
	request := parse(t, `01 00 00 38 0f 40 3f 94 73 97 80 57 bd 83 d5 cb 98 f4 22 7a 01 06 6e 65 6d 6f
		02 12 0d be 70 8d 93 d4 13 ce 31 96 e4 3f 78 2a 0a ee 04 06 c0 a8 01 10 05 06 00 00 00 03`)
	password, err := RevealPassword(request.Get(UserPassword), secret, request.Authenticator)
	if err != nil || string(bytes.TrimRight(password, "\x00")) != "arctangent" {
		t.Errorf("password %q, %v", password, err)
	}
	hidden, err := HidePassword([]byte("arctangent"), secret, request.Authenticator)
	if err != nil || !bytes.Equal(hidden, request.Get(UserPassword)) {
		t.Errorf("hidden %x, %v", hidden, err)
	}
	answer := parse(t, `02 00 00 26 86 fe 22 0e 76 24 ba 2a 10 05 f6 bf 9b 55 e0 b2 06 06 00 00 00 01 0f 06 00 00 00 00 0e 06 c0 a8 01 03`)
	if err := answer.VerifyAnswer(secret, request.Authenticator, false); err != nil {
		t.Errorf("7.1: %v", err)
	}
	if err := answer.VerifyAnswer(secret, request.Authenticator, true); !errors.Is(err, ErrUnsigned) {
		t.Errorf("7.1 where a Message-Authenticator is needed: %v", err)
	}
	chap := parse(t, `01 01 00 47 2a ee 86 f0 8d 0d 55 96 9c a5 97 8e 0d 33 67 a2 01 08 66 6c 6f 70 73 79
		03 13 16 e9 75 57 c3 16 18 58 95 f2 93 ff 63 44 07 72 75 04 06 c0 a8 01 10 05 06 00 00 00 14 06 06 00 00 00 02 07 06 00 00 00 01`)
	answer = parse(t, `02 01 00 38 15 ef bc 7d ab 26 cf a3 dc 34 d9 c0 3c 86 01 a4 06 06 00 00 00 02 07 06 00 00 00 01
		08 06 ff ff ff fe 0a 06 00 00 00 02 0d 06 00 00 00 01 0c 06 00 00 05 dc`)
	if err := answer.VerifyAnswer(secret, chap.Authenticator, false); err != nil {
		t.Errorf("7.2: %v", err)
	}
	if err := answer.VerifyAnswer([]byte("xyzzy5462"), chap.Authenticator, false); !errors.Is(err, ErrBadAuth) {
		t.Errorf("7.2 under another secret: %v", err)
	}
	// The challenge is the request's authenticator, which a proxy changes: it is kept
	// as an attribute (RFC 2865 section 5.3).
	out, _, err := Forward(chap, Hop{secret, chap.Authenticator}, []byte("other"), 9, Authenticator{1}, []byte("p"))
	if err != nil || !bytes.Equal(out.Get(CHAPChallenge), chap.Authenticator[:]) || !bytes.Equal(out.Get(CHAPPassword), chap.Get(CHAPPassword)) {
		t.Errorf("challenge %x, %v", out.Get(CHAPChallenge), err)
	}
}

// Every boundary of lengths.
func TestParse(t *testing.T) {
	head := func(size int, rest ...byte) []byte {
		b := make([]byte, 20)
		b[0], b[2], b[3] = 1, byte(size>>8), byte(size)
		return append(b, rest...)
	}
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"nothing":                     {nil, ErrShort},
		"19 bytes":                    {head(20)[:19], ErrShort},
		"no attribute":                {head(20), nil},
		"padding":                     {head(20, 1, 2, 3), nil},
		"length 19":                   {head(19), ErrLength},
		"length 0":                    {head(0), ErrLength},
		"length 4097":                 {head(4097, make([]byte, 4077)...), ErrLength},
		"more than came":              {head(22, 1), ErrShort},
		"half an attribute":           {head(21, 1), ErrAttribute},
		"attribute of length 0":       {head(22, 1, 0), ErrAttribute},
		"attribute of length 1":       {head(22, 1, 1), ErrAttribute},
		"empty attribute":             {head(22, 1, 2), nil},
		"attribute past the end":      {head(22, 1, 3), ErrAttribute},
		"attribute into padding":      {head(22, 1, 3, 7), ErrAttribute},
		"short Message-Authenticator": {head(22, 80, 2), ErrAttribute},
		"two of them":                 {head(56, append(append([]byte{80, 18}, make([]byte, 16)...), append([]byte{80, 18}, make([]byte, 16)...)...)...), ErrAttribute},
		"the longest":                 {head(4096, bytes.Repeat(append([]byte{1, 163}, make([]byte, 161)...), 25)...), ErrShort},
	} {
		if _, err := Parse(c.b); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	p := &Packet{Code: AccessRequest}
	for p.Add(UserName, make([]byte, ValueMost)) == nil {
	}
	if p.Size() > MaxSize || !errors.Is(p.Add(UserName, make([]byte, ValueMost)), ErrTooLong) || !errors.Is(p.Add(UserName, make([]byte, ValueMost+1)), ErrAttribute) {
		t.Errorf("%d bytes", p.Size())
	}
	if _, err := Parse(p.Marshal()); err != nil {
		t.Error(err)
	}
}

func newRequest(t testing.TB, code Code, secret []byte, signed bool) *Packet {
	t.Helper()
	p := &Packet{Code: code, ID: 7, Authenticator: Authenticator{9, 8, 7}}
	if signed {
		p.Add(MessageAuthenticator, make([]byte, 16))
	}
	p.Add(UserName, []byte("nemo"))
	p.Add(ProxyState, []byte("first"))
	p.Add(ProxyState, []byte("second"))
	if code == AccessRequest {
		hidden, err := HidePassword([]byte("a password of more than 16 bytes"), secret, p.Authenticator)
		if err != nil {
			t.Fatal(err)
		}
		p.Add(UserPassword, hidden)
	}
	p.SignRequest(secret)
	return p
}

// A changed byte anywhere, and another secret, are noticed; what lacks the
// Message-Authenticator is not taken where it is needed.
func TestVerifyRequest(t *testing.T) {
	secret := []byte("s3cret")
	for _, code := range []Code{AccessRequest, AccountingRequest, StatusServer} {
		p := newRequest(t, code, secret, true)
		if err := p.VerifyRequest(secret, true); err != nil {
			t.Errorf("%v: %v", code, err)
		}
		if err := p.VerifyRequest([]byte("S3cret"), true); err == nil {
			t.Errorf("%v: taken under another secret", code)
		}
		wire := p.Marshal()
		for n := range wire {
			if n == 2 || n == 3 {
				continue // lengths: no packet
			}
			b := bytes.Clone(wire)
			b[n] ^= 1
			if q, err := Parse(b); err == nil && q.Code == code && q.VerifyRequest(secret, true) == nil {
				t.Errorf("%v: taken with byte %d changed", code, n)
			}
		}
	}
	bare := newRequest(t, AccessRequest, secret, false)
	if err := bare.VerifyRequest(secret, true); !errors.Is(err, ErrUnsigned) {
		t.Errorf("access, unsigned: %v", err)
	}
	if err := bare.VerifyRequest(secret, false); err != nil {
		t.Errorf("access, unsigned, where that is let through: %v", err)
	}
	bare.Add(EAPMessage, []byte{2})
	if err := bare.VerifyRequest(secret, false); !errors.Is(err, ErrUnsigned) {
		t.Errorf("EAP, unsigned: %v", err)
	}
	if err := newRequest(t, StatusServer, secret, false).VerifyRequest(secret, false); !errors.Is(err, ErrUnsigned) {
		t.Errorf("Status-Server, unsigned: %v", err)
	}
	if err := newRequest(t, AccountingRequest, secret, false).VerifyRequest(secret, true); err != nil {
		t.Errorf("accounting needs none: %v", err)
	}
	if err := newRequest(t, AccountingRequest, secret, false).VerifyRequest([]byte("x"), true); !errors.Is(err, ErrBadAuth) {
		t.Errorf("accounting under another secret: %v", err)
	}
}

// A call through a proxy: the server reads the password under its own secret, its
// answer's hidden values come to the client under the client's, Proxy-States go and
// come back in order, and what the proxy added is gone.
func TestThroughAProxy(t *testing.T) {
	cs, ss := []byte("client's"), []byte("server's, longer")
	in := newRequest(t, AccessRequest, cs, true)
	client := Hop{cs, in.Authenticator}
	out, server, err := Forward(in, client, ss, 200, Authenticator{5, 5}, []byte("mine"))
	if err != nil {
		t.Fatal(err)
	}
	if out.ID != 200 || out.Authenticator == in.Authenticator || out.VerifyRequest(ss, true) != nil {
		t.Errorf("sent on as %+v", out)
	}
	if first := out.attrs[0]; Type(first) != MessageAuthenticator {
		t.Error("its Message-Authenticator is not in front")
	}
	password, err := RevealPassword(out.Get(UserPassword), ss, out.Authenticator)
	if err != nil || string(bytes.TrimRight(password, "\x00")) != "a password of more than 16 bytes" {
		t.Errorf("password %q, %v", password, err)
	}
	states := func(p *Packet) (all string) {
		for at, v := range p.All {
			if at == ProxyState {
				all += string(v) + " "
			}
		}
		return all
	}
	if s := states(out); s != "first second mine " {
		t.Errorf("states to the server: %s", s)
	}

	answer := Answer(out, AccessAccept)
	tunnel, _ := HideSalted([]byte("tunnel"), ss, out.Authenticator, Salt{1, 2})
	key, _ := HideSalted([]byte("0123456789abcdef0123456789abcdef"), ss, out.Authenticator, Salt{3, 4})
	answer.Add(TunnelPassword, append([]byte{7}, tunnel...))
	answer.Add(VendorSpecific, append([]byte{0, 0, 1, 55, mppeSendKey, byte(2 + len(key))}, key...))
	answer.Add(VendorSpecific, []byte{0, 0, 0, 9, 1, 3, 0})
	answer.Add(State, []byte("conversation"))
	answer.SignAnswer(ss, out.Authenticator)
	if err := answer.VerifyAnswer(ss, server.Authenticator, true); err != nil {
		t.Fatal(err)
	}
	back, err := Return(answer, in, server, client, []byte("mine"))
	if err != nil {
		t.Fatal(err)
	}
	if err := back.VerifyAnswer(cs, in.Authenticator, true); err != nil || back.ID != in.ID {
		t.Errorf("to the client: %v, %+v", err, back)
	}
	if s := states(back); s != "first second " {
		t.Errorf("states to the client: %s", s)
	}
	if v, err := RevealSalted(back.Get(TunnelPassword)[1:], cs, in.Authenticator); err != nil || string(v) != "tunnel" || back.Get(TunnelPassword)[0] != 7 {
		t.Errorf("Tunnel-Password %q, %v", v, err)
	}
	if v, err := RevealSalted(back.Get(VendorSpecific)[6:], cs, in.Authenticator); err != nil || string(v) != "0123456789abcdef0123456789abcdef" {
		t.Errorf("MS-MPPE key %q, %v", v, err)
	}
	if string(back.Get(State)) != "conversation" {
		t.Error("State is lost")
	}
	if _, err := Return(answer, in, server, client, []byte("another's")); !errors.Is(err, ErrProxyState) {
		t.Errorf("an answer without our state: %v", err)
	}
}

// An accounting request's authenticator is its digest: a hop makes it anew.
func TestAccountingThroughAProxy(t *testing.T) {
	cs, ss := []byte("client's"), []byte("server's")
	in := newRequest(t, AccountingRequest, cs, false)
	out, server, err := Forward(in, Hop{cs, in.Authenticator}, ss, 3, Authenticator{1}, []byte("mine"))
	if err != nil || out.VerifyRequest(ss, true) != nil || server.Authenticator != out.Authenticator {
		t.Fatalf("%v, %+v", err, out)
	}
	answer := Answer(out, AccountingResponse)
	answer.SignAnswer(ss, out.Authenticator)
	back, err := Return(answer, in, server, Hop{cs, in.Authenticator}, []byte("mine"))
	if err != nil || back.VerifyAnswer(cs, in.Authenticator, true) != nil {
		t.Errorf("%v", err)
	}
}

func TestHiddenForms(t *testing.T) {
	for n := range 129 {
		h, err := HidePassword(make([]byte, n), []byte("s"), Authenticator{})
		if err != nil || len(h)%16 != 0 || len(h) < max(16, n) {
			t.Errorf("a password of %d: %d, %v", n, len(h), err)
		}
	}
	if _, err := HidePassword(make([]byte, 129), []byte("s"), Authenticator{}); err == nil {
		t.Error("a password of 129")
	}
	for _, n := range []int{0, 1, 15, 17, 144} {
		if _, err := RevealPassword(make([]byte, n), []byte("s"), Authenticator{}); !errors.Is(err, ErrHidden) {
			t.Errorf("a hidden password of %d: %v", n, err)
		}
	}
	for _, n := range []int{0, 2, 17, 19} {
		if _, err := RevealSalted(make([]byte, n), []byte("s"), Authenticator{}); !errors.Is(err, ErrHidden) {
			t.Errorf("a salted value of %d: %v", n, err)
		}
	}
}

// What is hidden comes back, under any secret and authenticator, and differs under
// another.
func TestHideAndReveal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 128).Draw(t, "text")
		secret := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "secret")
		auth := Authenticator(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "auth"))
		h, err := HidePassword(text, secret, auth)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := RevealPassword(h, secret, auth); err != nil || !bytes.Equal(got[:len(text)], text) {
			t.Fatalf("%x, %v", got, err)
		}
		salt := Salt(rapid.SliceOfN(rapid.Byte(), 2, 2).Draw(t, "salt"))
		s, err := HideSalted(text, secret, auth, salt)
		if err != nil || s[0]&0x80 == 0 {
			t.Fatal(err)
		}
		if got, err := RevealSalted(s, secret, auth); err != nil || !bytes.Equal(got, text) {
			t.Fatalf("%x, %v", got, err)
		}
	})
}

// Whatever comes, nothing panics; what parses is written as it was read, and a proxy
// never makes a packet that it could not read itself.
func FuzzParse(f *testing.F) {
	secret := []byte("s")
	f.Add(newRequest(f, AccessRequest, secret, true).Marshal())
	f.Add(newRequest(f, AccountingRequest, secret, false).Marshal())
	f.Add(newRequest(f, StatusServer, secret, true).Marshal())
	f.Add([]byte{1, 2, 0, 20, 15: 0, 19: 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		p, err := Parse(b)
		if err != nil {
			return
		}
		if !bytes.Equal(p.Marshal(), b[:p.Size()]) {
			t.Fatalf("%x is written as %x", b, p.Marshal())
		}
		p.VerifyRequest(secret, true)
		p.VerifyAnswer(secret, Authenticator{}, true)
		hop := Hop{secret, p.Authenticator}
		if out, _, err := Forward(p, hop, []byte("t"), 1, Authenticator{2}, []byte("state")); err == nil {
			if q, err := Parse(out.Marshal()); err != nil || q.VerifyRequest([]byte("t"), true) != nil {
				t.Fatalf("sent on as %x: %v", out.Marshal(), err)
			}
		}
		if out, err := Return(p, p, hop, Hop{[]byte("t"), Authenticator{2}}, p.Get(ProxyState)); err == nil {
			if q, err := Parse(out.Marshal()); err != nil || q.VerifyAnswer([]byte("t"), Authenticator{2}, true) != nil {
				t.Fatalf("handed back as %x: %v", out.Marshal(), err)
			}
		}
		a := Answer(p, AccessReject)
		a.SignAnswer(secret, p.Authenticator)
		if _, err := Parse(a.Marshal()); err != nil {
			t.Fatalf("answered %x: %v", a.Marshal(), err)
		}
	})
}
