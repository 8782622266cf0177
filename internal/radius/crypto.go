package radius

import (
	"crypto/hmac"
	"crypto/md5" // #nosec: RADIUS defines no other digest
	"crypto/subtle"
	"errors"
)

// ErrBadHiddenValue reports a hidden value (password or salted value) that has an impossible length
// or was hidden under another secret.
var ErrBadHiddenValue = errors.New("radius: hidden value is malformed or hidden under another secret")

// maxPasswordBytes is the length of the longest User-Password (RFC 2865 section 5.2).
const maxPasswordBytes = 128

func md5Digest(parts ...[]byte) Authenticator {
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

// hideBlocks XORs padded text, whose length is a multiple of 16, with a chain of digests. The
// first digest covers the secret and seed, each later one the secret and the hidden block before
// it (RFC 2865 section 5.2, RFC 2868 section 3.5).
func hideBlocks(padded, secret []byte, seed ...[]byte) []byte {
	hidden := make([]byte, len(padded))
	chain := md5Digest(append([][]byte{secret}, seed...)...)
	for n := 0; n < len(padded); n += 16 {
		xor16(hidden[n:], padded[n:], chain)
		chain = md5Digest(secret, hidden[n:n+16])
	}
	return hidden
}

// revealBlocks is the inverse of hideBlocks.
func revealBlocks(hidden, secret []byte, seed ...[]byte) []byte {
	padded := make([]byte, len(hidden))
	chain := md5Digest(append([][]byte{secret}, seed...)...)
	for n := 0; n < len(hidden); n += 16 {
		xor16(padded[n:], hidden[n:], chain)
		chain = md5Digest(secret, hidden[n:n+16])
	}
	return padded
}

// HidePassword returns a password in the hidden form of the attribute User-Password, for a
// request with that authenticator. It returns an error for more than 128 bytes.
func HidePassword(password, secret []byte, authenticator Authenticator) ([]byte, error) {
	if len(password) > maxPasswordBytes {
		return nil, ErrBadHiddenValue
	}
	padded := make([]byte, max(16, (len(password)+15)/16*16))
	copy(padded, password)
	return hideBlocks(padded, secret, authenticator[:]), nil
}

// RevealPassword returns the password that HidePassword hid. It keeps the zero bytes of the
// padding: they can't be distinguished from zeros at the end of the password, and the next hop pads
// in the same way.
func RevealPassword(hidden, secret []byte, authenticator Authenticator) ([]byte, error) {
	if len(hidden) == 0 || len(hidden)%16 != 0 || len(hidden) > maxPasswordBytes {
		return nil, ErrBadHiddenValue
	}
	return revealBlocks(hidden, secret, authenticator[:]), nil
}

// Salt is the salt of a salted value. Its first bit must be set (RFC 2868 section 3.5), and
// HideSalted sets it.
type Salt [2]byte

// rehideSalted reveals a salted value (a salt, then hidden text) under the secret and
// authenticator of one hop and hides it under those of another. Tunnel-Password after its tag and
// the MS-MPPE keys have this form. The salt stays the same: salts only have to differ within one
// packet, and they still do.
func rehideSalted(value, fromSecret, toSecret []byte, fromAuthenticator, toAuthenticator Authenticator) ([]byte, error) {
	if len(value) < 2+16 || (len(value)-2)%16 != 0 {
		return nil, ErrBadHiddenValue
	}
	salt := value[:2]
	plaintext := revealBlocks(value[2:], fromSecret, fromAuthenticator[:], salt)
	if int(plaintext[0]) > len(plaintext)-1 { // the length byte is impossible: hidden under another secret
		return nil, ErrBadHiddenValue
	}
	return append(append(make([]byte, 0, len(value)), salt...), hideBlocks(plaintext, toSecret, toAuthenticator[:], salt)...), nil
}

// HideSalted returns the salt followed by the value in hidden form. It returns an error for a
// value of more than 239 bytes.
func HideSalted(value, secret []byte, authenticator Authenticator, salt Salt) ([]byte, error) {
	if len(value) > 239 {
		return nil, ErrBadHiddenValue
	}
	padded := make([]byte, (1+len(value)+15)/16*16)
	padded[0] = byte(len(value))
	copy(padded[1:], value)
	salt[0] |= 0x80
	return append(salt[:], hideBlocks(padded, secret, authenticator[:], salt[:])...), nil
}

// RevealSalted returns the value that HideSalted hid, without salt and padding.
func RevealSalted(value, secret []byte, authenticator Authenticator) ([]byte, error) {
	if len(value) < 2+16 || (len(value)-2)%16 != 0 {
		return nil, ErrBadHiddenValue
	}
	plaintext := revealBlocks(value[2:], secret, authenticator[:], value[:2])
	if int(plaintext[0]) > len(plaintext)-1 {
		return nil, ErrBadHiddenValue
	}
	return plaintext[1 : 1+plaintext[0]], nil
}

// messageAuthenticator returns the value that the packet's Message-Authenticator must have, and
// the offset of the present value in the attributes. The value is an HMAC-MD5 over the packet with
// 16 zero bytes as Message-Authenticator and the given authenticator in the header (RFC 2869
// section 5.14). ok is false if the packet has no such attribute.
func (p *Packet) messageAuthenticator(secret []byte, authenticator Authenticator) (sum Authenticator, offset int, ok bool) {
	for n := 0; n < len(p.attrs); n += int(p.attrs[n+1]) {
		if Type(p.attrs[n]) == MessageAuthenticator {
			offset, ok = n+2, true
			break
		}
	}
	if !ok {
		return sum, 0, false
	}
	q := *p
	q.Authenticator = authenticator
	wire := q.Marshal()
	clear(wire[headerBytes+offset : headerBytes+offset+16])
	h := hmac.New(md5.New, secret)
	h.Write(wire)
	return Authenticator(h.Sum(nil)), offset, true
}

// hmacAuthenticator returns the authenticator over which a request's Message-Authenticator is
// computed. It is the request's own, but zero for an Accounting-Request, whose authenticator is
// itself a digest of the packet.
func (p *Packet) hmacAuthenticator() Authenticator {
	if p.Code == AccountingRequest {
		return Authenticator{}
	}
	return p.Authenticator
}

// fillMessageAuthenticator sets the value of the packet's Message-Authenticator, if the packet
// has the attribute.
func (p *Packet) fillMessageAuthenticator(secret []byte, authenticator Authenticator) {
	if sum, offset, ok := p.messageAuthenticator(secret, authenticator); ok {
		copy(p.attrs[offset:], sum[:])
	}
}

// packetDigest returns the MD5 digest of the packet with the given authenticator in its header,
// followed by the secret (RFC 2865 section 3).
func (p *Packet) packetDigest(authenticator Authenticator, secret []byte) Authenticator {
	wire := p.Marshal()
	return md5Digest(wire[:4], authenticator[:], wire[headerBytes:], secret)
}

// SignRequest sets the fields of a request that depend on the secret: the value of its
// Message-Authenticator, if it has one, and the authenticator of an Accounting-Request (RFC 2866
// section 3). The caller must have set the authenticator of any other request to an unpredictable
// value.
func (p *Packet) SignRequest(secret []byte) {
	p.fillMessageAuthenticator(secret, p.hmacAuthenticator())
	if p.Code == AccountingRequest {
		p.Authenticator = p.packetDigest(Authenticator{}, secret)
	}
}

// SignAnswer sets an answer's Message-Authenticator, if it has one, and its authenticator. Both
// depend on the authenticator of the request (RFC 2865 section 3).
func (p *Packet) SignAnswer(secret []byte, request Authenticator) {
	p.fillMessageAuthenticator(secret, request)
	p.Authenticator = p.packetDigest(request, secret)
}

// Errors of VerifyRequest and VerifyAnswer.
var (
	ErrNoMessageAuthenticator  = errors.New("radius: no Message-Authenticator")
	ErrBadMessageAuthenticator = errors.New("radius: Message-Authenticator is wrong")
	ErrBadAuthenticator        = errors.New("radius: authenticator is wrong")
)

func equalConstantTime(a, b []byte) bool { return subtle.ConstantTimeCompare(a, b) == 1 }

// VerifyRequest checks that a request was signed with the secret. If requireMessageAuthenticator
// is set, an Access-Request must carry a Message-Authenticator: without it, an attacker on the
// network path can change the request and forge its answer (CVE-2024-3596). Status-Server (RFC
// 5997 section 3) and EAP (RFC 3579 section 3.2) always need one, and one that is present is
// always checked.
func (p *Packet) VerifyRequest(secret []byte, requireMessageAuthenticator bool) error {
	sum, offset, ok := p.messageAuthenticator(secret, p.hmacAuthenticator())
	switch {
	case ok && !equalConstantTime(sum[:], p.attrs[offset:offset+16]):
		return ErrBadMessageAuthenticator
	case !ok && (p.Code == StatusServer || p.Code == AccessRequest && (requireMessageAuthenticator || p.Get(EAPMessage) != nil)):
		return ErrNoMessageAuthenticator
	case p.Code == AccountingRequest:
		if want := p.packetDigest(Authenticator{}, secret); !equalConstantTime(want[:], p.Authenticator[:]) {
			return ErrBadAuthenticator
		}
	}
	return nil
}

// VerifyAnswer checks that an answer to the request with that authenticator was signed with the
// secret. requireMessageAuthenticator is as for VerifyRequest; an Accounting-Response needs no
// Message-Authenticator.
func (p *Packet) VerifyAnswer(secret []byte, request Authenticator, requireMessageAuthenticator bool) error {
	if want := p.packetDigest(request, secret); !equalConstantTime(want[:], p.Authenticator[:]) {
		return ErrBadAuthenticator
	}
	sum, offset, ok := p.messageAuthenticator(secret, request)
	switch {
	case ok && !equalConstantTime(sum[:], p.attrs[offset:offset+16]):
		return ErrBadMessageAuthenticator
	case !ok && p.Code != AccountingResponse && (requireMessageAuthenticator || p.Get(EAPMessage) != nil):
		return ErrNoMessageAuthenticator
	}
	return nil
}
