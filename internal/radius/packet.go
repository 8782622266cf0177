// Package radius encodes, decodes, signs and verifies RADIUS packets, and translates requests and
// answers from one hop to the next as a proxy must (RFC 2865, 2866, 2868, 2869, 2548, 5080, 5997).
// It has no I/O, clock or randomness: callers pass random values in. Secrets are never part of an
// error message or of a packet's text.
package radius

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Code is the type of a packet (RFC 2865 section 3).
type Code byte

// The codes that a proxy for access and accounting handles.
const (
	AccessRequest      Code = 1
	AccessAccept       Code = 2
	AccessReject       Code = 3
	AccountingRequest  Code = 4
	AccountingResponse Code = 5
	AccessChallenge    Code = 11
	StatusServer       Code = 12
)

// String returns the code's name as the RFCs have it, or its number if it has no name here.
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

// IsRequest reports whether packets of this code are sent by clients.
func (c Code) IsRequest() bool {
	return c == AccessRequest || c == AccountingRequest || c == StatusServer
}

// Answers reports whether a packet of code c may answer a request of the given code.
func (c Code) Answers(request Code) bool {
	switch request {
	case AccessRequest:
		return c == AccessAccept || c == AccessReject || c == AccessChallenge
	case AccountingRequest:
		return c == AccountingResponse
	case StatusServer: // the answer depends on the port (RFC 5997 section 3)
		return c == AccessAccept || c == AccountingResponse
	}
	return false
}

// Type is an attribute's type.
type Type byte

// The attributes that a proxy reads or writes.
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
	headerBytes = 20
	// MaxPacketBytes is the length of the longest packet (RFC 2865 section 3).
	MaxPacketBytes = 4096
	// MaxValueBytes is the length of an attribute's longest value.
	MaxValueBytes = 253
)

// Authenticator is the 16-byte field of that name in a packet's header: an unpredictable value or
// a digest in a request, a digest in an answer (RFC 2865 section 3, RFC 2866 section 3).
type Authenticator [16]byte

// Packet is a RADIUS packet. The lengths of its attributes are valid: Parse and Add check them.
type Packet struct {
	Code          Code
	ID            byte
	Authenticator Authenticator
	attrs         []byte // encoded as on the wire
}

// Errors of malformed packets.
var (
	ErrTruncated     = errors.New("radius: datagram is shorter than the header or its length field says")
	ErrPacketLength  = errors.New("radius: length field is not within 20 and 4096")
	ErrBadAttribute  = errors.New("radius: attribute has a wrong length or must not be repeated")
	ErrPacketTooLong = errors.New("radius: packet would exceed 4096 bytes")
)

// Parse decodes a datagram. Bytes past the packet's length field are padding and are dropped (RFC
// 2865 section 3). The Packet refers to the datagram's memory: the caller must not change it.
func Parse(datagram []byte) (*Packet, error) {
	if len(datagram) < headerBytes {
		return nil, ErrTruncated
	}
	size := int(binary.BigEndian.Uint16(datagram[2:]))
	switch {
	case size < headerBytes || size > MaxPacketBytes:
		return nil, ErrPacketLength
	case size > len(datagram):
		return nil, ErrTruncated
	}
	p := &Packet{Code: Code(datagram[0]), ID: datagram[1], Authenticator: Authenticator(datagram[4:headerBytes]), attrs: datagram[headerBytes:size]}
	authenticators := 0
	for rest := p.attrs; len(rest) > 0; {
		if len(rest) < 2 || rest[1] < 2 || int(rest[1]) > len(rest) {
			return nil, ErrBadAttribute
		}
		if Type(rest[0]) == MessageAuthenticator {
			// A second one is refused: otherwise it might be checked in place of the first.
			if authenticators++; authenticators > 1 || rest[1] != 18 {
				return nil, ErrBadAttribute
			}
		}
		rest = rest[rest[1]:]
	}
	return p, nil
}

// Marshal returns the packet as it is sent.
func (p *Packet) Marshal() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.attrs))
	b[0], b[1] = byte(p.Code), p.ID
	binary.BigEndian.PutUint16(b[2:], uint16(headerBytes+len(p.attrs)))
	copy(b[4:], p.Authenticator[:])
	return append(b, p.attrs...)
}

// Size returns the length of the encoded packet in bytes.
func (p *Packet) Size() int { return headerBytes + len(p.attrs) }

// All iterates over the attributes in order.
func (p *Packet) All(yield func(t Type, value []byte) bool) {
	for rest := p.attrs; len(rest) > 0; rest = rest[rest[1]:] {
		if !yield(Type(rest[0]), rest[2:rest[1]]) {
			return
		}
	}
}

// Get returns the value of the first attribute of a type, nil if the packet has none.
func (p *Packet) Get(t Type) []byte {
	for attributeType, value := range p.All {
		if attributeType == t {
			return value
		}
	}
	return nil
}

// Uint32 returns the value of the first attribute of a type as a number. It returns false if the
// packet has none or its value is not 4 bytes long.
func (p *Packet) Uint32(t Type) (uint32, bool) {
	v := p.Get(t)
	if len(v) != 4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(v), true
}

// Add appends an attribute. It returns an error, and leaves the packet as it is, if the value or
// the packet would be too long.
func (p *Packet) Add(t Type, value []byte) error {
	if len(value) > MaxValueBytes {
		return ErrBadAttribute
	}
	if p.Size()+2+len(value) > MaxPacketBytes {
		return ErrPacketTooLong
	}
	p.attrs = append(append(p.attrs, byte(t), byte(2+len(value))), value...)
	return nil
}

// AddUint32 appends an attribute whose value is a number of 4 bytes, as Add does.
func (p *Packet) AddUint32(t Type, v uint32) error {
	return p.Add(t, binary.BigEndian.AppendUint32(nil, v))
}
