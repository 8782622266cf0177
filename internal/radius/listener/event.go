package listener

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

	"chalkrack/internal/radius"
)

const acctSessionTime radius.Type = 46

// eventSize is the length of an event's name.
const eventSize = 16

const interim = 3 // Acct-Status-Type Interim-Update (RFC 2869 section 2.1)

// Event names what an Accounting-Request tells of: the NAS, the session, the status and
// the event's time. It is the same for each retransmission, also with a new identifier
// and another Acct-Delay-Time (RFC 2866 section 5.2), and differs between the interim
// updates of a session. It is empty for a request without Acct-Session-Id, which is
// known by its packet alone.
//
// The time is Event-Timestamp (RFC 2869 section 5.3), else how long the session had
// lasted. An interim update that has neither is known by all that it tells but for the
// delay. The client's address belongs to the event: nobody can use up another's.
func Event(client netip.Addr, p *radius.Packet) string {
	session := p.Get(radius.AcctSessionID)
	if len(session) == 0 {
		return ""
	}
	h := sha256.New()
	add := func(b []byte) {
		h.Write(binary.BigEndian.AppendUint16(nil, uint16(len(b))))
		h.Write(b)
	}
	addr := client.As16()
	add(addr[:])
	for _, t := range []radius.Type{radius.NASIdentifier, radius.NASIPAddress, radius.NASIPv6Address, radius.AcctSessionID, radius.AcctStatusType} {
		add(p.Get(t))
	}
	at := p.Get(radius.EventTimestamp)
	lasted := p.Get(acctSessionTime)
	status, _ := p.Uint32(radius.AcctStatusType)
	switch {
	case at != nil:
		add(at)
	case lasted != nil:
		add(lasted)
	case status == interim:
		for t, value := range p.All {
			switch t {
			case radius.AcctDelayTime, radius.ProxyState, radius.MessageAuthenticator:
			default:
				add([]byte{byte(t)})
				add(value)
			}
		}
	}
	return string(h.Sum(nil)[:eventSize])
}
