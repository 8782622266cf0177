package radius

import (
	"bytes"
	"encoding/binary"
	"errors"
)

// Hop holds what a proxy needs to read and sign the packets of one call on one hop, between client
// and proxy or between proxy and server: the shared secret and the request's authenticator there.
type Hop struct {
	Secret        []byte
	Authenticator Authenticator
}

// ForwardRequest returns a client's request as a proxy sends it to a server (RFC 2865 section
// 2.3). It has the given identifier and authenticator. Its password is hidden under the server's
// secret, the CHAP challenge is preserved, and proxyState is appended as the last Proxy-State. An
// Access-Request gets a new Message-Authenticator as its first attribute. The returned Hop is
// needed to verify and translate the server's answer.
func ForwardRequest(request *Packet, clientHop Hop, serverSecret []byte, id byte, authenticator Authenticator, proxyState []byte) (*Packet, Hop, error) {
	out := &Packet{Code: request.Code, ID: id, Authenticator: authenticator, attrs: make([]byte, 0, len(request.attrs)+64)}
	var err error
	add := func(t Type, value []byte) {
		if err == nil {
			err = out.Add(t, value)
		}
	}
	if request.Code != AccountingRequest || request.Get(MessageAuthenticator) != nil {
		add(MessageAuthenticator, make([]byte, 16))
	}
	hasChallenge := request.Get(CHAPChallenge) != nil
	for t, value := range request.All {
		switch t {
		case MessageAuthenticator:
		case UserPassword:
			plaintext, revealErr := RevealPassword(value, clientHop.Secret, clientHop.Authenticator)
			if revealErr != nil {
				return nil, Hop{}, revealErr
			}
			add(t, hideBlocks(plaintext, serverSecret, authenticator[:]))
		case CHAPPassword:
			add(t, value)
			if !hasChallenge { // the client's authenticator is the challenge, and the server gets another
				add(CHAPChallenge, clientHop.Authenticator[:])
			}
		default:
			add(t, value)
		}
	}
	if request.Code != StatusServer { // Status-Server is for one hop only (RFC 5997 section 3)
		add(ProxyState, proxyState)
	}
	if err != nil {
		return nil, Hop{}, err
	}
	out.SignRequest(serverSecret)
	return out, Hop{serverSecret, out.Authenticator}, nil
}

// ErrNoProxyState reports an answer that does not contain the proxy's own Proxy-State.
var ErrNoProxyState = errors.New("radius: answer does not contain the proxy's Proxy-State")

// The vendor number and the vendor types of the MS-MPPE keys (RFC 2548 section 2.4).
const (
	vendorMicrosoft = 311
	mppeSendKey     = 16
	mppeRecvKey     = 17
)

// ForwardAnswer returns a server's answer as a proxy sends it to the client: with the identifier
// of the client's request, and signed with the client's secret. All Proxy-States are replaced by
// those of the client's request, in their order. Hidden values are revealed under the server's hop
// and hidden under the client's. It returns an error if the answer does not contain proxyState.
func ForwardAnswer(answer, request *Packet, serverHop, clientHop Hop, proxyState []byte) (*Packet, error) {
	out := &Packet{Code: answer.Code, ID: request.ID, attrs: make([]byte, 0, len(answer.attrs)+32)}
	var err error
	add := func(t Type, value []byte) {
		if err == nil {
			err = out.Add(t, value)
		}
	}
	if answer.Code != AccountingResponse || answer.Get(MessageAuthenticator) != nil {
		add(MessageAuthenticator, make([]byte, 16))
	}
	hasProxyState := false
	for t, value := range answer.All {
		switch t {
		case MessageAuthenticator:
		case ProxyState:
			hasProxyState = hasProxyState || bytes.Equal(value, proxyState)
		case TunnelPassword:
			if len(value) < 1 {
				return nil, ErrBadHiddenValue
			}
			hidden, rehideErr := rehideSalted(value[1:], serverHop.Secret, clientHop.Secret, serverHop.Authenticator, clientHop.Authenticator)
			if rehideErr != nil {
				return nil, rehideErr
			}
			add(t, append([]byte{value[0]}, hidden...))
		case VendorSpecific:
			rehidden, rehideErr := rehideVendorAttribute(value, serverHop, clientHop)
			if rehideErr != nil {
				return nil, rehideErr
			}
			add(t, rehidden)
		default:
			add(t, value)
		}
	}
	if !hasProxyState && request.Code != StatusServer {
		return nil, ErrNoProxyState
	}
	for t, value := range request.All {
		if t == ProxyState {
			add(t, value)
		}
	}
	if err != nil {
		return nil, err
	}
	out.SignAnswer(clientHop.Secret, clientHop.Authenticator)
	return out, nil
}

// rehideVendorAttribute returns the value of a Vendor-Specific attribute with its MS-MPPE keys
// hidden under the client's hop instead of the server's. All other values stay as they are.
func rehideVendorAttribute(value []byte, serverHop, clientHop Hop) ([]byte, error) {
	if len(value) < 4 || binary.BigEndian.Uint32(value) != vendorMicrosoft {
		return value, nil
	}
	out := append(make([]byte, 0, len(value)), value[:4]...)
	for rest := value[4:]; len(rest) > 0; {
		if len(rest) < 2 || rest[1] < 2 || int(rest[1]) > len(rest) {
			return nil, ErrBadAttribute
		}
		subvalue := rest[2:rest[1]]
		if rest[0] == mppeSendKey || rest[0] == mppeRecvKey {
			hidden, err := rehideSalted(subvalue, serverHop.Secret, clientHop.Secret, serverHop.Authenticator, clientHop.Authenticator)
			if err != nil {
				return nil, err
			}
			subvalue = hidden
		}
		out = append(append(out, rest[0], rest[1]), subvalue...)
		rest = rest[rest[1]:]
	}
	return out, nil
}

// NewAnswer returns an unsigned answer of the proxy itself to a request. It contains the request's
// Proxy-States and, except for accounting, a Message-Authenticator. The caller adds attributes and
// then calls SignAnswer.
func NewAnswer(request *Packet, code Code) *Packet {
	answer := &Packet{Code: code, ID: request.ID}
	if code != AccountingResponse {
		answer.Add(MessageAuthenticator, make([]byte, 16))
	}
	for t, value := range request.All {
		if t == ProxyState {
			answer.Add(t, value) // can't fail: all of them fit into the request
		}
	}
	return answer
}
