package protocol

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"chalkrack/internal/load"
	"chalkrack/internal/radius"
	"chalkrack/internal/radius/client"
)

// RADIUS sends calls as counter terminals do: what carries a key is an accounting event,
// counted once however often its packet comes; all else asks for access. A terminal
// sends the same packet again until the call's deadline.
type RADIUS struct {
	Access, Accounting netip.AddrPort
	Secret             []byte
	Resend             time.Duration // between a packet and its repeat; 0: 1 s
	Realm              string        // behind the user's name; empty: none
	Password           string        // empty: 0000
}

// packetsMost bounds the packets of one call.
const packetsMost = 100

// Dial implements load.Protocol: each call has a port of its own, as terminals behind
// one relay have.
func (p *RADIUS) Dial(time.Time) (load.Conn, error) { return radiusConn{p}, nil }

type radiusConn struct{ p *RADIUS }

// Do implements load.Conn. A reject is the answer 403, the only refusal that RADIUS has.
func (c radiusConn) Do(call *load.Call) (load.Reply, error) {
	first, _, _ := strings.Cut(call.ID, "-") // a try again tells of the same event
	p := &radius.Packet{Code: radius.AccessRequest}
	to := c.p.Access
	user := first
	if c.p.Realm != "" {
		user += "@" + c.p.Realm
	}
	errs := []error{p.Add(radius.NASIdentifier, []byte("fawnctl load"))}
	if call.Class.Effect == load.Keyed {
		p.Code, to = radius.AccountingRequest, c.p.Accounting
		errs = append(errs, p.AddUint32(radius.AcctStatusType, 1), p.Add(radius.AcctSessionID, []byte(first)),
			p.Add(radius.UserName, []byte(user)))
	} else {
		seed := radius.Authenticator{1}
		copy(seed[1:], call.ID[max(0, len(call.ID)-15):])
		p.Authenticator = seed
		password := c.p.Password
		if password == "" {
			password = "0000"
		}
		hidden, err := radius.HidePassword([]byte(password), c.p.Secret, seed)
		errs = append(errs, err, p.Add(radius.MessageAuthenticator, make([]byte, 16)),
			p.Add(radius.UserName, []byte(user)), p.Add(radius.UserPassword, hidden))
	}
	if err := errors.Join(errs...); err != nil {
		return load.Reply{}, fmt.Errorf("load: %w", err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	wait := c.p.Resend
	if wait == 0 {
		wait = time.Second
	}
	tries := min(packetsMost, max(1, int(time.Until(call.Deadline)/wait)+1))
	reply, err := client.Ask(ctx, client.Config{To: to, Secret: c.p.Secret, Tries: tries, Wait: wait}, p)
	if err != nil {
		return load.Reply{}, load.Local(err)
	}
	if reply.Packet.Code == radius.AccessReject {
		return load.Reply{Status: 403}, nil
	}
	return load.Reply{Status: 200}, nil
}

// Close implements load.Conn.
func (c radiusConn) Close() {}
