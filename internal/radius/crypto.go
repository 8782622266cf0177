package radius

import (
	"crypto/hmac"
	"crypto/md5" // #nosec: the protocol has no other
	"crypto/subtle"
	"errors"
)

// ErrHidden is the error of a hidden value that can't be one.
var ErrHidden = errors.New("radius: hidden value of a wrong form")

// passwordMost is the longest User-Password (RFC 2865 section 5.2).
const passwordMost = 128

func digest(parts ...[]byte) Authenticator {
	h := md5.New()
	for _, p := range parts {
		h.Write(p)
	}
	return Authenticator(h.Sum(nil))
}

func xor16(dst, a []byte, b Authenticator) {
	for n := range 16 {
		dst[n] = a[n] ^ b[n]
	}
}

// hide XORs padded text with a chain of digests that begins with seed (RFC 2865 section
// 5.2, RFC 2868 section 3.5).
func hide(padded, secret []byte, seed ...[]byte) []byte {
	out := make([]byte, len(padded))
	chain := digest(append([][]byte{secret}, seed...)...)
	for n := 0; n < len(padded); n += 16 {
		xor16(out[n:], padded[n:], chain)
		chain = digest(secret, out[n:n+16])
	}
	return out
}

func reveal(hidden, secret []byte, seed ...[]byte) []byte {
	out := make([]byte, len(hidden))
	chain := digest(append([][]byte{secret}, seed...)...)
	for n := 0; n < len(hidden); n += 16 {
		xor16(out[n:], hidden[n:], chain)
		chain = digest(secret, hidden[n:n+16])
	}
	return out
}

// HidePassword hides a User-Password under a request's authenticator.
func HidePassword(password, secret []byte, auth Authenticator) ([]byte, error) {
	if len(password) > passwordMost {
		return nil, ErrHidden
	}
	padded := make([]byte, max(16, (len(password)+15)/16*16))
	copy(padded, password)
	return hide(padded, secret, auth[:]), nil
}

// RevealPassword is the password that HidePassword hid, with its padding: whether a
// zero at the end belongs to it can't be told, and another hop pads alike.
func RevealPassword(hidden, secret []byte, auth Authenticator) ([]byte, error) {
	if len(hidden) == 0 || len(hidden)%16 != 0 || len(hidden) > passwordMost {
		return nil, ErrHidden
	}
	return reveal(hidden, secret, auth[:]), nil
}

// Salt is the salt of a salted value; its first bit is set (RFC 2868 section 3.5).
type Salt [2]byte

// rehideSalted hides a salted value (salt and hidden text: Tunnel-Password behind its
// tag, MS-MPPE keys) anew, from the secret and authenticator of one hop to those of
// another. The salt stays: it must only differ within one packet, and does.
func rehideSalted(value, from, to []byte, fromAuth, toAuth Authenticator) ([]byte, error) {
	if len(value) < 2+16 || (len(value)-2)%16 != 0 {
		return nil, ErrHidden
	}
	salt := value[:2]
	clear := reveal(value[2:], from, fromAuth[:], salt)
	if int(clear[0]) > len(clear)-1 { // hidden under another secret
		return nil, ErrHidden
	}
	return append(append(make([]byte, 0, len(value)), salt...), hide(clear, to, toAuth[:], salt)...), nil
}

// HideSalted hides a value under a salt.
func HideSalted(value, secret []byte, auth Authenticator, salt Salt) ([]byte, error) {
	if len(value) > 239 {
		return nil, ErrHidden
	}
	padded := make([]byte, (1+len(value)+15)/16*16)
	padded[0] = byte(len(value))
	copy(padded[1:], value)
	salt[0] |= 0x80
	return append(salt[:], hide(padded, secret, auth[:], salt[:])...), nil
}

// RevealSalted is the value that HideSalted hid.
func RevealSalted(value, secret []byte, auth Authenticator) ([]byte, error) {
	if len(value) < 2+16 || (len(value)-2)%16 != 0 {
		return nil, ErrHidden
	}
	clear := reveal(value[2:], secret, auth[:], value[:2])
	if int(clear[0]) > len(clear)-1 {
		return nil, ErrHidden
	}
	return clear[1 : 1+clear[0]], nil
}

// messageAuthenticator is HMAC-MD5 over the packet with that attribute's value zero and
// auth in the authenticator's place (RFC 2869 section 5.14). ok is false if the packet
// has none.
func (p *Packet) messageAuthenticator(secret []byte, auth Authenticator) (sum Authenticator, at int, ok bool) {
	for n := 0; n < len(p.attrs); n += int(p.attrs[n+1]) {
		if Type(p.attrs[n]) == MessageAuthenticator {
			at, ok = n+2, true
			break
		}
	}
	if !ok {
		return sum, 0, false
	}
	q := *p
	q.Authenticator = auth
	b := q.Marshal()
	clear(b[headSize+at : headSize+at+16])
	h := hmac.New(md5.New, secret)
	h.Write(b)
	return Authenticator(h.Sum(nil)), at, true
}

// hmacAuth is what stands in the authenticator's place for a request's
// Message-Authenticator: its own, or zero where that is a digest itself.
func (p *Packet) hmacAuth() Authenticator {
	if p.Code == AccountingRequest {
		return Authenticator{}
	}
	return p.Authenticator
}

// seal fills in a packet's Message-Authenticator, if it has the attribute.
func (p *Packet) seal(secret []byte, auth Authenticator) {
	if sum, at, ok := p.messageAuthenticator(secret, auth); ok {
		copy(p.attrs[at:], sum[:])
	}
}

func (p *Packet) bodyDigest(auth Authenticator, secret []byte) Authenticator {
	b := p.Marshal()
	return digest(b[:4], auth[:], b[headSize:], secret)
}

// SignRequest fills in what a request's secret vouches for: Message-Authenticator if
// the attribute is there, and an Accounting-Request's authenticator (RFC 2866 section 3).
// Another request's authenticator must be set, to what nobody can foresee.
func (p *Packet) SignRequest(secret []byte) {
	p.seal(secret, p.hmacAuth())
	if p.Code == AccountingRequest {
		p.Authenticator = p.bodyDigest(Authenticator{}, secret)
	}
}

// SignAnswer fills in an answer's Message-Authenticator, if it has one, and its
// authenticator, by that of the request (RFC 2865 section 3).
func (p *Packet) SignAnswer(secret []byte, request Authenticator) {
	p.seal(secret, request)
	p.Authenticator = p.bodyDigest(request, secret)
}

// What is wrong with a packet's vouchers.
var (
	ErrUnsigned   = errors.New("radius: no Message-Authenticator")
	ErrBadMessage = errors.New("radius: Message-Authenticator is wrong")
	ErrBadAuth    = errors.New("radius: authenticator is wrong")
)

func same(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// VerifyRequest checks a request. needed says that access must carry a
// Message-Authenticator: without one whoever is on the way can change it, and forge its
// answer (CVE-2024-3596). One that is there is checked in any case, and so is that of
// Status-Server (RFC 5997 section 3), and of EAP (RFC 3579 section 3.2).
func (p *Packet) VerifyRequest(secret []byte, needed bool) error {
	sum, at, ok := p.messageAuthenticator(secret, p.hmacAuth())
	switch {
	case ok && !same(sum[:], p.attrs[at:at+16]):
		return ErrBadMessage
	case !ok && (p.Code == StatusServer || p.Code == AccessRequest && (needed || p.Get(EAPMessage) != nil)):
		return ErrUnsigned
	case p.Code == AccountingRequest:
		if want := p.bodyDigest(Authenticator{}, secret); !same(want[:], p.Authenticator[:]) {
			return ErrBadAuth
		}
	}
	return nil
}

// VerifyAnswer checks an answer to a request with that authenticator. needed is as for
// VerifyRequest; accounting needs none.
func (p *Packet) VerifyAnswer(secret []byte, request Authenticator, needed bool) error {
	if want := p.bodyDigest(request, secret); !same(want[:], p.Authenticator[:]) {
		return ErrBadAuth
	}
	sum, at, ok := p.messageAuthenticator(secret, request)
	switch {
	case ok && !same(sum[:], p.attrs[at:at+16]):
		return ErrBadMessage
	case !ok && p.Code != AccountingResponse && (needed || p.Get(EAPMessage) != nil):
		return ErrUnsigned
	}
	return nil
}
