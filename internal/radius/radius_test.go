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

func parseHex(t testing.TB, text string) *Packet {
	t.Helper()
	p, err := Parse(unhex(t, text))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The example packets of RFC 2865 section 7 are read, hidden and verified as the RFC says.
func TestRFC2865Examples(t *testing.T) {
	secret := []byte("xyzzy5461")
	request := parseHex(t, `01 00 00 38 0f 40 3f 94 73 97 80 57 bd 83 d5 cb 98 f4 22 7a 01 06 6e 65 6d 6f
		02 12 0d be 70 8d 93 d4 13 ce 31 96 e4 3f 78 2a 0a ee 04 06 c0 a8 01 10 05 06 00 00 00 03`)
	password, err := RevealPassword(request.Get(UserPassword), secret, request.Authenticator)
	if err != nil || string(bytes.TrimRight(password, "\x00")) != "arctangent" {
		t.Errorf("password %q, %v", password, err)
	}
	hidden, err := HidePassword([]byte("arctangent"), secret, request.Authenticator)
	if err != nil || !bytes.Equal(hidden, request.Get(UserPassword)) {
		t.Errorf("hidden %x, %v", hidden, err)
	}
	answer := parseHex(t, `02 00 00 26 86 fe 22 0e 76 24 ba 2a 10 05 f6 bf 9b 55 e0 b2 06 06 00 00 00 01 0f 06 00 00 00 00 0e 06 c0 a8 01 03`)
	if err := answer.VerifyAnswer(secret, request.Authenticator, false); err != nil {
		t.Errorf("7.1: %v", err)
	}
	if err := answer.VerifyAnswer(secret, request.Authenticator, true); !errors.Is(err, ErrNoMessageAuthenticator) {
		t.Errorf("7.1 where a Message-Authenticator is needed: %v", err)
	}
	chap := parseHex(t, `01 01 00 47 2a ee 86 f0 8d 0d 55 96 9c a5 97 8e 0d 33 67 a2 01 08 66 6c 6f 70 73 79
		03 13 16 e9 75 57 c3 16 18 58 95 f2 93 ff 63 44 07 72 75 04 06 c0 a8 01 10 05 06 00 00 00 14 06 06 00 00 00 02 07 06 00 00 00 01`)
	answer = parseHex(t, `02 01 00 38 15 ef bc 7d ab 26 cf a3 dc 34 d9 c0 3c 86 01 a4 06 06 00 00 00 02 07 06 00 00 00 01
		08 06 ff ff ff fe 0a 06 00 00 00 02 0d 06 00 00 00 01 0c 06 00 00 05 dc`)
	if err := answer.VerifyAnswer(secret, chap.Authenticator, false); err != nil {
		t.Errorf("7.2: %v", err)
	}
	if err := answer.VerifyAnswer([]byte("xyzzy5462"), chap.Authenticator, false); !errors.Is(err, ErrBadAuthenticator) {
		t.Errorf("7.2 under another secret: %v", err)
	}
	// The CHAP challenge is the request's authenticator, which a proxy changes. The proxy must
	// pass the challenge on as an attribute (RFC 2865 section 5.3).
	out, _, err := ForwardRequest(chap, Hop{secret, chap.Authenticator}, []byte("other"), 9, Authenticator{1}, []byte("p"))
	if err != nil || !bytes.Equal(out.Get(CHAPChallenge), chap.Authenticator[:]) || !bytes.Equal(out.Get(CHAPPassword), chap.Get(CHAPPassword)) {
		t.Errorf("CHAP challenge %x, %v; want the client's authenticator and an unchanged CHAP-Password", out.Get(CHAPChallenge), err)
	}
}

// Parse must reject every length of a packet or an attribute that is out of bounds, and Add must
// not make a packet that Parse rejects.
func TestParseAndAddCheckLengths(t *testing.T) {
	header := func(size int, rest ...byte) []byte {
		datagram := make([]byte, 20)
		datagram[0], datagram[2], datagram[3] = 1, byte(size>>8), byte(size)
		return append(datagram, rest...)
	}
	for name, c := range map[string]struct {
		datagram []byte
		want     error
	}{
		"nothing":                     {nil, ErrTruncated},
		"19 bytes":                    {header(20)[:19], ErrTruncated},
		"no attribute":                {header(20), nil},
		"padding":                     {header(20, 1, 2, 3), nil},
		"length 19":                   {header(19), ErrPacketLength},
		"length 0":                    {header(0), ErrPacketLength},
		"length 4097":                 {header(4097, make([]byte, 4077)...), ErrPacketLength},
		"more than came":              {header(22, 1), ErrTruncated},
		"half an attribute":           {header(21, 1), ErrBadAttribute},
		"attribute of length 0":       {header(22, 1, 0), ErrBadAttribute},
		"attribute of length 1":       {header(22, 1, 1), ErrBadAttribute},
		"empty attribute":             {header(22, 1, 2), nil},
		"attribute past the end":      {header(22, 1, 3), ErrBadAttribute},
		"attribute into padding":      {header(22, 1, 3, 7), ErrBadAttribute},
		"short Message-Authenticator": {header(22, 80, 2), ErrBadAttribute},
		"two of them":                 {header(56, append(append([]byte{80, 18}, make([]byte, 16)...), append([]byte{80, 18}, make([]byte, 16)...)...)...), ErrBadAttribute},
		"the longest":                 {header(4096, bytes.Repeat(append([]byte{1, 163}, make([]byte, 161)...), 25)...), ErrTruncated},
	} {
		if _, err := Parse(c.datagram); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
	p := &Packet{Code: AccessRequest}
	for p.Add(UserName, make([]byte, MaxValueBytes)) == nil {
	}
	if p.Size() > MaxPacketBytes || !errors.Is(p.Add(UserName, make([]byte, MaxValueBytes)), ErrPacketTooLong) || !errors.Is(p.Add(UserName, make([]byte, MaxValueBytes+1)), ErrBadAttribute) {
		t.Errorf("a packet full of attributes has %d bytes, or Add accepted another attribute", p.Size())
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

// VerifyRequest must reject a request with any byte changed or signed under another secret, and
// one without Message-Authenticator where one is required.
func TestVerifyRequestRejectsChangedAndUnsigned(t *testing.T) {
	secret := []byte("s3cret")
	for _, code := range []Code{AccessRequest, AccountingRequest, StatusServer} {
		p := newRequest(t, code, secret, true)
		if err := p.VerifyRequest(secret, true); err != nil {
			t.Errorf("%v: %v", code, err)
		}
		if err := p.VerifyRequest([]byte("S3cret"), true); err == nil {
			t.Errorf("%v: accepted under another secret", code)
		}
		wire := p.Marshal()
		for n := range wire {
			if n == 2 || n == 3 {
				continue // the length field: Parse rejects the packet
			}
			b := bytes.Clone(wire)
			b[n] ^= 1
			if q, err := Parse(b); err == nil && q.Code == code && q.VerifyRequest(secret, true) == nil {
				t.Errorf("%v: accepted with byte %d changed", code, n)
			}
		}
	}
	unsigned := newRequest(t, AccessRequest, secret, false)
	if err := unsigned.VerifyRequest(secret, true); !errors.Is(err, ErrNoMessageAuthenticator) {
		t.Errorf("access without Message-Authenticator: %v, want ErrNoMessageAuthenticator", err)
	}
	if err := unsigned.VerifyRequest(secret, false); err != nil {
		t.Errorf("access without Message-Authenticator where none is required: %v", err)
	}
	unsigned.Add(EAPMessage, []byte{2})
	if err := unsigned.VerifyRequest(secret, false); !errors.Is(err, ErrNoMessageAuthenticator) {
		t.Errorf("EAP without Message-Authenticator: %v, want ErrNoMessageAuthenticator", err)
	}
	if err := newRequest(t, StatusServer, secret, false).VerifyRequest(secret, false); !errors.Is(err, ErrNoMessageAuthenticator) {
		t.Errorf("Status-Server without Message-Authenticator: %v, want ErrNoMessageAuthenticator", err)
	}
	if err := newRequest(t, AccountingRequest, secret, false).VerifyRequest(secret, true); err != nil {
		t.Errorf("accounting without Message-Authenticator, which is optional there: %v", err)
	}
	if err := newRequest(t, AccountingRequest, secret, false).VerifyRequest([]byte("x"), true); !errors.Is(err, ErrBadAuthenticator) {
		t.Errorf("accounting under another secret: %v, want an authenticator error", err)
	}
}

// An access call goes through a proxy. The server must be able to read the password under its own
// secret, and the client the answer's hidden values under its own. Proxy-States must arrive at the
// server and come back in order, and the client must not get the proxy's own one.
func TestForwardAccessCall(t *testing.T) {
	clientSecret, serverSecret := []byte("client's"), []byte("server's, longer")
	request := newRequest(t, AccessRequest, clientSecret, true)
	clientHop := Hop{clientSecret, request.Authenticator}
	forwarded, serverHop, err := ForwardRequest(request, clientHop, serverSecret, 200, Authenticator{5, 5}, []byte("mine"))
	if err != nil {
		t.Fatal(err)
	}
	if forwarded.ID != 200 || forwarded.Authenticator == request.Authenticator || forwarded.VerifyRequest(serverSecret, true) != nil {
		t.Errorf("request forwarded as %+v", forwarded)
	}
	if first := forwarded.attrs[0]; Type(first) != MessageAuthenticator {
		t.Error("Message-Authenticator is not the first attribute of the forwarded request")
	}
	password, err := RevealPassword(forwarded.Get(UserPassword), serverSecret, forwarded.Authenticator)
	if err != nil || string(bytes.TrimRight(password, "\x00")) != "a password of more than 16 bytes" {
		t.Errorf("the server reads the password %q, %v", password, err)
	}
	proxyStates := func(p *Packet) (all string) {
		for attributeType, v := range p.All {
			if attributeType == ProxyState {
				all += string(v) + " "
			}
		}
		return all
	}
	if s := proxyStates(forwarded); s != "first second mine " {
		t.Errorf("Proxy-States at the server: %s", s)
	}

	answer := NewAnswer(forwarded, AccessAccept)
	tunnel, _ := HideSalted([]byte("tunnel"), serverSecret, forwarded.Authenticator, Salt{1, 2})
	key, _ := HideSalted([]byte("0123456789abcdef0123456789abcdef"), serverSecret, forwarded.Authenticator, Salt{3, 4})
	answer.Add(TunnelPassword, append([]byte{7}, tunnel...))
	answer.Add(VendorSpecific, append([]byte{0, 0, 1, 55, mppeSendKey, byte(2 + len(key))}, key...))
	answer.Add(VendorSpecific, []byte{0, 0, 0, 9, 1, 3, 0})
	answer.Add(State, []byte("conversation"))
	answer.SignAnswer(serverSecret, forwarded.Authenticator)
	if err := answer.VerifyAnswer(serverSecret, serverHop.Authenticator, true); err != nil {
		t.Fatal(err)
	}
	returned, err := ForwardAnswer(answer, request, serverHop, clientHop, []byte("mine"))
	if err != nil {
		t.Fatal(err)
	}
	if err := returned.VerifyAnswer(clientSecret, request.Authenticator, true); err != nil || returned.ID != request.ID {
		t.Errorf("answer forwarded to the client: %v, %+v", err, returned)
	}
	if s := proxyStates(returned); s != "first second " {
		t.Errorf("Proxy-States at the client: %s", s)
	}
	if v, err := RevealSalted(returned.Get(TunnelPassword)[1:], clientSecret, request.Authenticator); err != nil || string(v) != "tunnel" || returned.Get(TunnelPassword)[0] != 7 {
		t.Errorf("Tunnel-Password %q, %v", v, err)
	}
	if v, err := RevealSalted(returned.Get(VendorSpecific)[6:], clientSecret, request.Authenticator); err != nil || string(v) != "0123456789abcdef0123456789abcdef" {
		t.Errorf("MS-MPPE key %q, %v", v, err)
	}
	if string(returned.Get(State)) != "conversation" {
		t.Error("the answer's State did not reach the client")
	}
	if _, err := ForwardAnswer(answer, request, serverHop, clientHop, []byte("another's")); !errors.Is(err, ErrNoProxyState) {
		t.Errorf("an answer without the proxy's Proxy-State: %v", err)
	}
}

// The authenticator of an Accounting-Request is a digest of the packet, so that a proxy must
// compute it again for the next hop.
func TestForwardAccountingCall(t *testing.T) {
	clientSecret, serverSecret := []byte("client's"), []byte("server's")
	request := newRequest(t, AccountingRequest, clientSecret, false)
	forwarded, serverHop, err := ForwardRequest(request, Hop{clientSecret, request.Authenticator}, serverSecret, 3, Authenticator{1}, []byte("mine"))
	if err != nil || forwarded.VerifyRequest(serverSecret, true) != nil || serverHop.Authenticator != forwarded.Authenticator {
		t.Fatalf("request forwarded to the server: %v, %+v", err, forwarded)
	}
	answer := NewAnswer(forwarded, AccountingResponse)
	answer.SignAnswer(serverSecret, forwarded.Authenticator)
	returned, err := ForwardAnswer(answer, request, serverHop, Hop{clientSecret, request.Authenticator}, []byte("mine"))
	if err != nil || returned.VerifyAnswer(clientSecret, request.Authenticator, true) != nil {
		t.Errorf("answer forwarded to the client: error %v, or its signature is wrong", err)
	}
}

// Hiding pads a password to a multiple of 16 bytes and rejects more than 128 bytes. Revealing
// rejects every length that hiding can't produce.
func TestLengthsOfHiddenValues(t *testing.T) {
	for n := range 129 {
		h, err := HidePassword(make([]byte, n), []byte("s"), Authenticator{})
		if err != nil || len(h)%16 != 0 || len(h) < max(16, n) {
			t.Errorf("a password of %d bytes: hidden in %d bytes, %v", n, len(h), err)
		}
	}
	if _, err := HidePassword(make([]byte, 129), []byte("s"), Authenticator{}); err == nil {
		t.Error("a password of 129 bytes was hidden")
	}
	for _, n := range []int{0, 1, 15, 17, 144} {
		if _, err := RevealPassword(make([]byte, n), []byte("s"), Authenticator{}); !errors.Is(err, ErrBadHiddenValue) {
			t.Errorf("a hidden password of %d bytes: %v", n, err)
		}
	}
	for _, n := range []int{0, 2, 17, 19} {
		if _, err := RevealSalted(make([]byte, n), []byte("s"), Authenticator{}); !errors.Is(err, ErrBadHiddenValue) {
			t.Errorf("a salted value of %d bytes: %v", n, err)
		}
	}
}

// For any secret and authenticator, passwords and salted values that were hidden are revealed
// unchanged.
func TestHideAndReveal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.Byte(), 0, 128).Draw(t, "text")
		secret := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "secret")
		authenticator := Authenticator(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "auth"))
		h, err := HidePassword(text, secret, authenticator)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := RevealPassword(h, secret, authenticator); err != nil || !bytes.Equal(got[:len(text)], text) {
			t.Fatalf("revealed another password: %x, %v", got, err)
		}
		salt := Salt(rapid.SliceOfN(rapid.Byte(), 2, 2).Draw(t, "salt"))
		s, err := HideSalted(text, secret, authenticator, salt)
		if err != nil || s[0]&0x80 == 0 {
			t.Fatal(err)
		}
		if got, err := RevealSalted(s, secret, authenticator); err != nil || !bytes.Equal(got, text) {
			t.Fatalf("revealed another value: %x, %v", got, err)
		}
	})
}

// No datagram may cause a panic. A packet that parses must be encoded again as the same bytes, and
// every packet that the proxy makes of it must parse and verify.
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
			t.Fatalf("%x is encoded again as %x", b, p.Marshal())
		}
		p.VerifyRequest(secret, true)
		p.VerifyAnswer(secret, Authenticator{}, true)
		hop := Hop{secret, p.Authenticator}
		if out, _, err := ForwardRequest(p, hop, []byte("t"), 1, Authenticator{2}, []byte("state")); err == nil {
			if q, err := Parse(out.Marshal()); err != nil || q.VerifyRequest([]byte("t"), true) != nil {
				t.Fatalf("request forwarded as %x: %v", out.Marshal(), err)
			}
		}
		if out, err := ForwardAnswer(p, p, hop, Hop{[]byte("t"), Authenticator{2}}, p.Get(ProxyState)); err == nil {
			if q, err := Parse(out.Marshal()); err != nil || q.VerifyAnswer([]byte("t"), Authenticator{2}, true) != nil {
				t.Fatalf("answer forwarded as %x: %v", out.Marshal(), err)
			}
		}
		a := NewAnswer(p, AccessReject)
		a.SignAnswer(secret, p.Authenticator)
		if _, err := Parse(a.Marshal()); err != nil {
			t.Fatalf("own answer %x: %v", a.Marshal(), err)
		}
	})
}
