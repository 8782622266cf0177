// Package radius codes RADIUS packets as a proxy needs them (RFC 2865, 2866, 2868,
// 2869, 2548, 5080, 5997). It has no I/O, clock or randomness: what must be random is
// handed in. Secrets are never part of an error or of a packet's text.
package radius

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Code is a packet's type (RFC 2865 section 3).
type Code byte

// The codes that a proxy of access and accounting meets.
const (
	AccessRequest      Code = 1
	AccessAccept       Code = 2
	AccessReject       Code = 3
	AccountingRequest  Code = 4
	AccountingResponse Code = 5
	AccessChallenge    Code = 11
	StatusServer       Code = 12
)

// String is the code's name.
func (c Code) String() string {
	switch c {
	case AccessRequest:
		return "Access-Request"
	case AccessAccept:
		return "Access-Accept"
	case AccessReject:
		return "Access-Reject"
	case AccountingRequest:
		return "Accounting-Request"
	case AccountingResponse:
		return "Accounting-Response"
	case AccessChallenge:
		return "Access-Challenge"
	case StatusServer:
		return "Status-Server"
	}
	return fmt.Sprintf("code %d", byte(c))
}

// IsRequest says whether a client sends it.
func (c Code) IsRequest() bool {
	return c == AccessRequest || c == AccountingRequest || c == StatusServer
}

// Answers says whether a packet of code c may answer one of code request.
func (c Code) Answers(request Code) bool {
	switch request {
	case AccessRequest:
		return c == AccessAccept || c == AccessReject || c == AccessChallenge
	case AccountingRequest:
		return c == AccountingResponse
	case StatusServer: // RFC 5997 section 3: by the port that was asked
		return c == AccessAccept || c == AccountingResponse
	}
	return false
}

// Type is an attribute's type.
type Type byte

// The attributes that a proxy looks at.
const (
	UserName             Type = 1
	UserPassword         Type = 2
	CHAPPassword         Type = 3
	NASIPAddress         Type = 4
	State                Type = 24
	VendorSpecific       Type = 26
	NASIdentifier        Type = 32
	ProxyState           Type = 33
	AcctStatusType       Type = 40
	AcctDelayTime        Type = 41
	AcctSessionID        Type = 44
	EventTimestamp       Type = 55
	CHAPChallenge        Type = 60
	TunnelPassword       Type = 69
	EAPMessage           Type = 79
	MessageAuthenticator Type = 80
	NASIPv6Address       Type = 95
	ErrorCause           Type = 101
)

const (
	headSize = 20
	// MaxSize is the longest packet (RFC 2865 section 3).
	MaxSize = 4096
	// ValueMost is the longest value of an attribute.
	ValueMost = 253
)

// Authenticator is the field of that name.
type Authenticator [16]byte

// Packet is a packet whose attributes are well-formed.
type Packet struct {
	Code          Code
	ID            byte
	Authenticator Authenticator
	attrs         []byte // as on the wire
}

// What is wrong with a packet.
var (
	ErrShort     = errors.New("radius: shorter than its length")
	ErrLength    = errors.New("radius: length out of range")
	ErrAttribute = errors.New("radius: attribute of a wrong length")
	ErrTooLong   = errors.New("radius: packet would be too long")
)

// Parse reads a datagram. What follows the packet's length is padding and is dropped
// (RFC 2865 section 3). The packet refers to b.
func Parse(b []byte) (*Packet, error) {
	if len(b) < headSize {
		return nil, ErrShort
	}
	size := int(binary.BigEndian.Uint16(b[2:]))
	switch {
	case size < headSize || size > MaxSize:
		return nil, ErrLength
	case size > len(b):
		return nil, ErrShort
	}
	p := &Packet{Code: Code(b[0]), ID: b[1], Authenticator: Authenticator(b[4:headSize]), attrs: b[headSize:size]}
	authenticators := 0
	for rest := p.attrs; len(rest) > 0; {
		if len(rest) < 2 || rest[1] < 2 || int(rest[1]) > len(rest) {
			return nil, ErrAttribute
		}
		if Type(rest[0]) == MessageAuthenticator {
			// Guards against a second one that would be checked in place of the first.
			if authenticators++; authenticators > 1 || rest[1] != 18 {
				return nil, ErrAttribute
			}
		}
		rest = rest[rest[1]:]
	}
	return p, nil
}

// Marshal is the packet as on the wire.
func (p *Packet) Marshal() []byte {
	b := make([]byte, headSize, headSize+len(p.attrs))
	b[0], b[1] = byte(p.Code), p.ID
	binary.BigEndian.PutUint16(b[2:], uint16(headSize+len(p.attrs)))
	copy(b[4:], p.Authenticator[:])
	return append(b, p.attrs...)
}

// Size is the length on the wire.
func (p *Packet) Size() int { return headSize + len(p.attrs) }

// All calls yield with each attribute, in order, until it returns false.
func (p *Packet) All(yield func(t Type, value []byte) bool) {
	for rest := p.attrs; len(rest) > 0; rest = rest[rest[1]:] {
		if !yield(Type(rest[0]), rest[2:rest[1]]) {
			return
		}
	}
}

// Get is the value of the first attribute of a type, nil if there is none.
func (p *Packet) Get(t Type) []byte {
	for at, value := range p.All {
		if at == t {
			return value
		}
	}
	return nil
}

// Uint32 is the value of the first attribute of a type as a number.
func (p *Packet) Uint32(t Type) (uint32, bool) {
	v := p.Get(t)
	if len(v) != 4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(v), true
}

// Add appends an attribute.
func (p *Packet) Add(t Type, value []byte) error {
	if len(value) > ValueMost {
		return ErrAttribute
	}
	if p.Size()+2+len(value) > MaxSize {
		return ErrTooLong
	}
	p.attrs = append(append(p.attrs, byte(t), byte(2+len(value))), value...)
	return nil
}

// AddUint32 appends an attribute that is a number.
func (p *Packet) AddUint32(t Type, v uint32) error {
	return p.Add(t, binary.BigEndian.AppendUint32(nil, v))
}
