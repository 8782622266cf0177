package radius

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// Hop is one hop's view of a call: its secret, and the request's authenticator on it.
type Hop struct {
	Secret        []byte
	Authenticator Authenticator
}

// Forward is the request as a proxy sends it to the next hop (RFC 2865 section 2.3): an
// identifier and an authenticator of that hop, the password hidden under its secret,
// CHAP's challenge kept, state added as the last Proxy-State, and a
// Message-Authenticator of the hop's own in front, for access. The Hop returned is what
// the answer is checked and read by.
func Forward(p *Packet, from Hop, secret []byte, id byte, auth Authenticator, state []byte) (*Packet, Hop, error) {
	out := &Packet{Code: p.Code, ID: id, Authenticator: auth, attrs: make([]byte, 0, len(p.attrs)+64)}
	var err error
	add := func(t Type, value []byte) {
		if err == nil {
			err = out.Add(t, value)
		}
	}
	if p.Code != AccountingRequest || p.Get(MessageAuthenticator) != nil {
		add(MessageAuthenticator, make([]byte, 16))
	}
	challenge := p.Get(CHAPChallenge) != nil
	for t, value := range p.All {
		switch t {
		case MessageAuthenticator:
		case UserPassword:
			clear, rerr := RevealPassword(value, from.Secret, from.Authenticator)
			if rerr != nil {
				return nil, Hop{}, rerr
			}
			add(t, hide(clear, secret, auth[:]))
		case CHAPPassword:
			add(t, value)
			if !challenge { // else the request's authenticator is the challenge, and that changes here
				add(CHAPChallenge, from.Authenticator[:])
			}
		default:
			add(t, value)
		}
	}
	if p.Code != StatusServer { // it belongs to one hop (RFC 5997 section 3)
		add(ProxyState, state)
	}
	if err != nil {
		return nil, Hop{}, err
	}
	out.SignRequest(secret)
	return out, Hop{secret, out.Authenticator}, nil
}

// ErrProxyState is the error of an answer that does not give the proxy's own state back.
var ErrProxyState = errors.New("radius: Proxy-State is not given back")

// microsoft is the vendor of the MS-MPPE keys; their types (RFC 2548 section 2.4).
const (
	microsoft   = 311
	mppeSendKey = 16
	mppeRecvKey = 17
)

// Return is a server's answer as a proxy hands it back: under the request's identifier
// on its first hop, with the proxy's own Proxy-State taken off and the request's given
// back in their order, and what is hidden hidden anew. Hidden values are opened under
// the server's hop and closed under the client's.
func Return(p, request *Packet, server, client Hop, state []byte) (*Packet, error) {
	out := &Packet{Code: p.Code, ID: request.ID, attrs: make([]byte, 0, len(p.attrs)+32)}
	var err error
	add := func(t Type, value []byte) {
		if err == nil {
			err = out.Add(t, value)
		}
	}
	if p.Code != AccountingResponse || p.Get(MessageAuthenticator) != nil {
		add(MessageAuthenticator, make([]byte, 16))
	}
	own := false
	for t, value := range p.All {
		switch t {
		case MessageAuthenticator:
		case ProxyState:
			own = own || bytes.Equal(value, state)
		case TunnelPassword:
			if len(value) < 1 {
				return nil, ErrHidden
			}
			hidden, rerr := rehideSalted(value[1:], server.Secret, client.Secret, server.Authenticator, client.Authenticator)
			if rerr != nil {
				return nil, rerr
			}
			add(t, append([]byte{value[0]}, hidden...))
		case VendorSpecific:
			again, rerr := rehideVendor(value, server, client)
			if rerr != nil {
				return nil, rerr
			}
			add(t, again)
		default:
			add(t, value)
		}
	}
	if !own && request.Code != StatusServer {
		return nil, ErrProxyState
	}
	for t, value := range request.All {
		if t == ProxyState {
			add(t, value)
		}
	}
	if err != nil {
		return nil, err
	}
	out.SignAnswer(client.Secret, client.Authenticator)
	return out, nil
}

// rehideVendor hides the MS-MPPE keys within a vendor's attribute anew; others stay.
func rehideVendor(value []byte, server, client Hop) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != microsoft {
		return value, nil
	}
	out := append(make([]byte, 0, len(value)), value[:4]...)
	for rest := value[4:]; len(rest) > 0; {
		if len(rest) < 2 || rest[1] < 2 || int(rest[1]) > len(rest) {
			return nil, ErrAttribute
		}
		sub := rest[2:rest[1]]
		if rest[0] == mppeSendKey || rest[0] == mppeRecvKey {
			hidden, err := rehideSalted(sub, server.Secret, client.Secret, server.Authenticator, client.Authenticator)
			if err != nil {
				return nil, err
			}
			sub = hidden
		}
		out = append(append(out, rest[0], rest[1]), sub...)
		rest = rest[rest[1]:]
	}
	return out, nil
}

// Answer begins an answer of the proxy's own to a request: its Proxy-States are given
// back, and access has a Message-Authenticator. Sign it once it is whole.
func Answer(request *Packet, code Code) *Packet {
	p := &Packet{Code: code, ID: request.ID}
	if code != AccountingResponse {
		p.Add(MessageAuthenticator, make([]byte, 16))
	}
	for t, value := range request.All {
		if t == ProxyState {
			p.Add(t, value) // as many as the request had fit
		}
	}
	return p
}
