package listener

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"

	"chalkrack/internal/radius"
)

const acctSessionTime radius.Type = 46

// eventNameBytes is the length of an event's name.
const eventNameBytes = 16

// statusInterimUpdate is the value Interim-Update of Acct-Status-Type (RFC 2869 section 2.1).
const statusInterimUpdate = 3

// EventName returns the name of the event that an Accounting-Request reports, a hash of 16 bytes.
// It is the same for all retransmissions of the event, even with another identifier and
// Acct-Delay-Time (RFC 2866 section 5.2), and differs between the interim updates of a session. It
// is empty for a request without Acct-Session-Id, whose retransmissions are recognized by their
// packet only.
//
// The name covers the NAS, the session, the status and the time of the event. The time is
// Event-Timestamp (RFC 2869 section 5.3) or, without it, Acct-Session-Time. For an interim update
// with neither, the name covers all attributes except the delay and those that each hop changes.
// The name also covers the client's address, so that a client can't use the names of another's
// events.
func EventName(client netip.Addr, request *radius.Packet) string {
	session := request.Get(radius.AcctSessionID)
	if len(session) == 0 {
		return ""
	}
	hash := sha256.New()
	addField := func(b []byte) {
		hash.Write(binary.BigEndian.AppendUint16(nil, uint16(len(b))))
		hash.Write(b)
	}
	addr := client.As16()
	addField(addr[:])
	for _, t := range []radius.Type{radius.NASIdentifier, radius.NASIPAddress, radius.NASIPv6Address, radius.AcctSessionID, radius.AcctStatusType} {
		addField(request.Get(t))
	}
	timestamp := request.Get(radius.EventTimestamp)
	sessionTime := request.Get(acctSessionTime)
	status, _ := request.Uint32(radius.AcctStatusType)
	switch {
	case timestamp != nil:
		addField(timestamp)
	case sessionTime != nil:
		addField(sessionTime)
	case status == statusInterimUpdate:
		for t, value := range request.All {
			switch t {
			case radius.AcctDelayTime, radius.ProxyState, radius.MessageAuthenticator:
			default:
				addField([]byte{byte(t)})
				addField(value)
			}
		}
	}
	return string(hash.Sum(nil)[:eventNameBytes])
}
