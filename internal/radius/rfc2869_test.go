package radius

import (
	"bytes"
	"crypto/hmac"
	"crypto/md5"
	"encoding/binary"
	"testing"
)

// encodePacket builds a packet without the code under test, from attributes that are already
// encoded.
func encodePacket(code, id byte, authenticator [16]byte, attributes ...[]byte) []byte {
	b := append([]byte{code, id, 0, 0}, authenticator[:]...)
	for _, a := range attributes {
		b = append(b, a...)
	}
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	return b
}

// encodeAttribute encodes an attribute as in RFC 2869: type, length of the whole attribute, value.
func encodeAttribute(t byte, value ...byte) []byte {
	return append([]byte{t, byte(2 + len(value))}, value...)
}

// setMessageAuthenticator sets a Message-Authenticator as RFC 2869 section 5.14 defines it: an
// HMAC-MD5 over the whole packet, computed with 16 zero octets as its value and the request's
// authenticator in the header. It must be the first attribute of the packet.
func setMessageAuthenticator(packet []byte, request [16]byte, secret string) {
	whole := bytes.Clone(packet)
	copy(whole[4:20], request[:])
	clear(whole[22:38])
	h := hmac.New(md5.New, []byte(secret))
	h.Write(whole)
	copy(packet[22:38], h.Sum(nil))
}

// setResponseAuthenticator sets a Response Authenticator (RFC 2865 section 3).
func setResponseAuthenticator(packet []byte, request [16]byte, secret string) {
	copy(packet[4:20], request[:])
	sum := md5.Sum(append(bytes.Clone(packet), secret...))
	copy(packet[4:20], sum[:])
}

// RFC 2869 contains no example packets. This test builds the packets of the exchange in its section
// 2.3.1 (EAP with a one-time password), with attributes as in section 5, and passes them through a
// proxy. It compares every byte that the server and the client get.
func TestForwardRFC2869EAPExchange(t *testing.T) {
	const clientSecret, serverSecret = "of the terminals", "of the servers"
	state := []byte("01234567")
	emptyMessageAuthenticator := encodeAttribute(80, make([]byte, 16)...)
	identity := encodeAttribute(79, 2, 1, 0, 9, 1, 'M', 'y', 'I', 'D')                                           // EAP-Response/Identity
	otpRequest := encodeAttribute(79, 1, 2, 0, 8, 5, 'o', 't', 'p')                                              // EAP-Request/OTP
	otp := [][]byte{encodeAttribute(79, 2, 2, 0, 12, 5), encodeAttribute(79, 'w', 'o', 'r', 'd', 's', '6', '7')} // one EAP packet in two attributes
	success := encodeAttribute(79, 3, 2, 0, 4)
	userName := encodeAttribute(1, []byte("MyID")...)
	serverState := encodeAttribute(24, 0xc0, 0xff, 0xee)
	proxyState := encodeAttribute(33, state...)
	for n, step := range []struct {
		request []([]byte)
		code    byte
		answer  []([]byte)
	}{
		{[][]byte{userName, identity}, 11, [][]byte{otpRequest, serverState}},
		{[][]byte{userName, otp[0], otp[1], serverState}, 2, [][]byte{success, encodeAttribute(85, 0, 0, 2, 88)}}, // Acct-Interim-Interval 600
	} {
		clientAuthenticator, serverAuthenticator := [16]byte{1, byte(n)}, [16]byte{2, byte(n)}
		wire := encodePacket(1, 7, clientAuthenticator, append([][]byte{emptyMessageAuthenticator}, step.request...)...)
		setMessageAuthenticator(wire, clientAuthenticator, clientSecret)
		request, err := Parse(wire)
		if err != nil {
			t.Fatal(err)
		}
		if err := request.VerifyRequest([]byte(clientSecret), true); err != nil {
			t.Errorf("step %d: the client's request: %v", n, err)
		}
		forwarded, hop, err := ForwardRequest(request, Hop{[]byte(clientSecret), clientAuthenticator}, []byte(serverSecret), 9, serverAuthenticator, state)
		if err != nil {
			t.Fatal(err)
		}
		want := encodePacket(1, 9, serverAuthenticator, append(append([][]byte{emptyMessageAuthenticator}, step.request...), proxyState)...)
		setMessageAuthenticator(want, serverAuthenticator, serverSecret)
		if got := forwarded.Marshal(); !bytes.Equal(got, want) {
			t.Errorf("step %d: the server gets\n%x, want\n%x", n, got, want)
		}
		answerWire := encodePacket(step.code, 9, [16]byte{}, append(append([][]byte{emptyMessageAuthenticator}, step.answer...), proxyState)...)
		setMessageAuthenticator(answerWire, serverAuthenticator, serverSecret)
		setResponseAuthenticator(answerWire, serverAuthenticator, serverSecret)
		answer, err := Parse(answerWire)
		if err != nil {
			t.Fatal(err)
		}
		if err := answer.VerifyAnswer([]byte(serverSecret), hop.Authenticator, true); err != nil {
			t.Errorf("step %d: the server's answer: %v", n, err)
		}
		returned, err := ForwardAnswer(answer, request, hop, Hop{[]byte(clientSecret), clientAuthenticator}, state)
		if err != nil {
			t.Fatal(err)
		}
		wantReturned := encodePacket(step.code, 7, [16]byte{}, append([][]byte{emptyMessageAuthenticator}, step.answer...)...)
		setMessageAuthenticator(wantReturned, clientAuthenticator, clientSecret)
		setResponseAuthenticator(wantReturned, clientAuthenticator, clientSecret)
		if got := returned.Marshal(); !bytes.Equal(got, wantReturned) {
			t.Errorf("step %d: the client gets\n%x, want\n%x", n, got, wantReturned)
		}
		// EAP without Message-Authenticator is rejected even where none is required (section 5.13).
		unsigned, err := Parse(encodePacket(1, 7, clientAuthenticator, step.request...))
		if err != nil {
			t.Fatal(err)
		}
		if err := unsigned.VerifyRequest([]byte(clientSecret), false); err != ErrNoMessageAuthenticator {
			t.Errorf("step %d: EAP without Message-Authenticator: %v", n, err)
		}
	}
}

// A proxy must forward the accounting attributes of RFC 2869, a vendor's attribute and all
// Proxy-States unchanged and in order.
func TestForwardRFC2869Accounting(t *testing.T) {
	const clientSecret, serverSecret = "of the terminals", "of the servers"
	attributes := [][]byte{
		encodeAttribute(40, 0, 0, 0, 3),                              // Interim-Update (section 2.1)
		encodeAttribute(44, []byte("s1")...),                         //
		encodeAttribute(52, 0, 0, 0, 1),                              // Acct-Input-Gigawords (5.1)
		encodeAttribute(53, 0, 0, 0, 2),                              // Acct-Output-Gigawords (5.2)
		encodeAttribute(55, 0x6a, 0xb1, 0x3b, 0x80),                  // Event-Timestamp (5.3)
		encodeAttribute(77, []byte("28800/V42BIS/LAPM")...),          // Connect-Info (5.11)
		encodeAttribute(87, []byte("port 7")...),                     // NAS-Port-Id (5.17)
		encodeAttribute(88, []byte("pool")...),                       // Framed-Pool (5.18)
		encodeAttribute(26, 0, 0, 0, 9, 1, 6, 'c', 'i', 's', 'c'),    // Vendor-Specific
		encodeAttribute(33, []byte("the terminal's own state")...),   //
		encodeAttribute(33, []byte("and another, in this order")...), //
	}
	sign := func(b []byte, secret string) { setResponseAuthenticator(b, [16]byte{}, secret) } // RFC 2866 section 3
	wire := encodePacket(4, 7, [16]byte{}, attributes...)
	sign(wire, clientSecret)
	request, err := Parse(wire)
	if err != nil {
		t.Fatal(err)
	}
	if err := request.VerifyRequest([]byte(clientSecret), true); err != nil {
		t.Error(err)
	}
	forwarded, _, err := ForwardRequest(request, Hop{[]byte(clientSecret), request.Authenticator}, []byte(serverSecret), 9, Authenticator{}, []byte("ours"))
	if err != nil {
		t.Fatal(err)
	}
	want := encodePacket(4, 9, [16]byte{}, append(attributes, encodeAttribute(33, []byte("ours")...))...)
	sign(want, serverSecret)
	if got := forwarded.Marshal(); !bytes.Equal(got, want) {
		t.Errorf("the server gets\n%x, want\n%x", got, want)
	}
}
