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

// RADIUS sends calls as counter terminals do. A keyed call is an accounting event, which counts
// once however often its packet arrives; all other calls are access requests. A terminal resends
// the same packet until it has an answer or the call's deadline passes.
type RADIUS struct {
	Access, Accounting netip.AddrPort
	Secret             []byte
	Resend             time.Duration // wait before a packet is sent again; 0 means 1 s
	Realm              string        // added to the user name as @Realm; empty means none
	Password           string        // empty means 0000
}

// maxPacketsPerCall bounds the packets of one call.
const maxPacketsPerCall = 100

// Dial implements load.Protocol. It opens nothing: each call uses a port of its own, as terminals
// behind one relay do.
func (p *RADIUS) Dial(time.Time) (load.Conn, error) { return radiusConn{p}, nil }

// radiusConn sends calls as a RADIUS client.
type radiusConn struct{ config *RADIUS }

// Do implements load.Conn. An Access-Reject, the only refusal in RADIUS, becomes status 403.
func (c radiusConn) Do(call *load.Call) (load.Reply, error) {
	eventID, _, _ := strings.Cut(call.ID, "-") // a retry, with -1 and so on added to the ID, is for the same event
	packet := &radius.Packet{Code: radius.AccessRequest}
	server := c.config.Access
	user := eventID
	if c.config.Realm != "" {
		user += "@" + c.config.Realm
	}
	errs := []error{packet.Add(radius.NASIdentifier, []byte("fawnctl load"))}
	if call.Class.Effect == load.Keyed {
		packet.Code, server = radius.AccountingRequest, c.config.Accounting
		errs = append(errs, packet.AddUint32(radius.AcctStatusType, 1), packet.Add(radius.AcctSessionID, []byte(eventID)),
			packet.Add(radius.UserName, []byte(user)))
	} else {
		seed := radius.Authenticator{1}
		copy(seed[1:], call.ID[max(0, len(call.ID)-15):])
		packet.Authenticator = seed
		password := c.config.Password
		if password == "" {
			password = "0000"
		}
		hidden, err := radius.HidePassword([]byte(password), c.config.Secret, seed)
		errs = append(errs, err, packet.Add(radius.MessageAuthenticator, make([]byte, 16)),
			packet.Add(radius.UserName, []byte(user)), packet.Add(radius.UserPassword, hidden))
	}
	if err := errors.Join(errs...); err != nil {
		return load.Reply{}, fmt.Errorf("load: %w", err)
	}
	ctx, cancel := context.WithDeadline(context.Background(), call.Deadline)
	defer cancel()
	wait := c.config.Resend
	if wait == 0 {
		wait = time.Second
	}
	tries := min(maxPacketsPerCall, max(1, int(time.Until(call.Deadline)/wait)+1))
	reply, err := client.Ask(ctx, client.Config{Server: server, Secret: c.config.Secret, MaxPackets: tries, ResendInterval: wait}, packet)
	if err != nil {
		return load.Reply{}, load.WrapLocalError(err)
	}
	if reply.Packet.Code == radius.AccessReject {
		return load.Reply{Status: 403}, nil
	}
	return load.Reply{Status: 200}, nil
}

// Close implements load.Conn. There is nothing to close.
func (c radiusConn) Close() {}
