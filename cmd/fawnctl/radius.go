package main

import (
	"cmp"
	"context"
	"crypto/md5"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"chalkrack/internal/radius"
	"chalkrack/internal/radius/client"
)

type radiusCmd struct {
	Send struct {
		Access     accessCmd     `cmd:"" help:"Ask whether a user may enter (Access-Request)."`
		Accounting accountingCmd `cmd:"" help:"Tell of a session (Accounting-Request)."`
		Status     statusCmd     `cmd:"" help:"Ask whether it is alive (Status-Server)."`
	} `cmd:"" help:"Send one request and show its answer. Secrets come from files or the environment: arguments show in lists of processes."`
}

// ask is what all requests share.
type ask struct {
	To         string        `required:"" help:"IP address and port."`
	SecretFile string        `help:"File with the shared secret; without it FAWN_RADIUS_SECRET is taken."`
	Tries      int           `default:"3" help:"Packets sent at most."`
	Wait       time.Duration `default:"1s" help:"How long each waits for its answer."`
	ID         int           `default:"-1" help:"Identifier, 0 to 255; by chance if left out. Accounting with the same one and the same content is the same packet."`
	NAS        string        `name:"nas" default:"fawnctl" help:"NAS-Identifier."`
	Unsigned   bool          `help:"Take an answer to access without Message-Authenticator, which anybody on the way can forge."`
}

var (
	errRejected = errors.New("rejected")
	errNoSecret = errors.New("no secret: give --secret-file or set FAWN_RADIUS_SECRET")
)

// secretMost bounds a file with a secret, or a password, in bytes.
const secretMost = 4 << 10

// hidden is a text from a file, or of the environment.
func hidden(path, variable string) (string, error) {
	if path == "" {
		return os.Getenv(variable), nil
	}
	f, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, secretMost+1))
	if err == nil && len(text) > secretMost {
		err = fmt.Errorf("%s: over %d bytes", path, secretMost)
	}
	return strings.TrimRight(string(text), "\r\n"), err
}

// send asks. fill puts in what the request tells of.
func (a *ask) send(s *streams, code radius.Code, fill func(p *radius.Packet, secret []byte) error) error {
	to, err := netip.ParseAddrPort(a.To)
	if err != nil {
		return fmt.Errorf("--to: %w", err)
	}
	secret, err := hidden(a.SecretFile, "FAWN_RADIUS_SECRET")
	if err != nil {
		return fmt.Errorf("--secret-file: %w", err)
	}
	if secret == "" {
		return errNoSecret
	}
	p := &radius.Packet{Code: code}
	rand.Read(p.Authenticator[:])
	p.ID = p.Authenticator[0]
	if a.ID >= 0 {
		if a.ID > 255 {
			return fmt.Errorf("--id: must be within 0 and 255")
		}
		p.ID = byte(a.ID)
	}
	if code != radius.AccountingRequest {
		p.Add(radius.MessageAuthenticator, make([]byte, 16))
	}
	if err := p.Add(radius.NASIdentifier, []byte(a.NAS)); err != nil {
		return fmt.Errorf("--nas: %w", err)
	}
	if err := fill(p, []byte(secret)); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reply, err := client.Ask(ctx, client.Config{To: to, Secret: []byte(secret), Tries: a.Tries, Wait: a.Wait, Unsigned: a.Unsigned}, p)
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%v from %v after %v, %d sent\n", reply.Packet.Code, to, reply.After.Round(10*time.Microsecond), reply.Packets)
	for t, value := range reply.Packet.All {
		fmt.Fprintf(s.out, "  %s\n", show(t, value))
	}
	if reply.Packet.Code == radius.AccessReject {
		return errRejected
	}
	return nil
}

// names are the attributes that operators meet in answers. Others show as numbers.
var names = map[radius.Type]string{
	radius.UserName: "User-Name", 6: "Service-Type", 8: "Framed-IP-Address", 11: "Filter-Id", 18: "Reply-Message",
	radius.State: "State", 25: "Class", 27: "Session-Timeout", 28: "Idle-Timeout", radius.ProxyState: "Proxy-State",
	radius.ErrorCause: "Error-Cause",
}

// show is an attribute as a line. What is hidden under the secret, or vouches for the
// packet, is not shown.
func show(t radius.Type, value []byte) string {
	name := cmp.Or(names[t], "attribute "+strconv.Itoa(int(t)))
	switch t {
	case radius.UserName, 11, 18:
		return fmt.Sprintf("%s = %q", name, value)
	case 6, 27, 28, radius.ErrorCause:
		if len(value) == 4 {
			return fmt.Sprintf("%s = %d", name, uint32(value[0])<<24|uint32(value[1])<<16|uint32(value[2])<<8|uint32(value[3]))
		}
	case 8:
		if addr, ok := netip.AddrFromSlice(value); ok {
			return fmt.Sprintf("%s = %v", name, addr)
		}
	case radius.MessageAuthenticator:
		return "Message-Authenticator is right"
	case radius.TunnelPassword, radius.VendorSpecific:
		return fmt.Sprintf("%s, %d bytes, not shown", name, len(value))
	}
	return fmt.Sprintf("%s = %s", name, hex.EncodeToString(value))
}

type accessCmd struct {
	ask
	User         string `required:"" help:"User-Name, with its realm: nemo@shop."`
	PasswordFile string `help:"File with the password; without it FAWN_RADIUS_PASSWORD is taken."`
	Chap         bool   `help:"Send the password by CHAP."`
	State        string `help:"State of an Access-Challenge, in hex: this goes on with its conversation."`
}

// Run sends it.
func (c *accessCmd) Run(s *streams) error {
	password, err := hidden(c.PasswordFile, "FAWN_RADIUS_PASSWORD")
	if err != nil {
		return fmt.Errorf("--password-file: %w", err)
	}
	state, err := hex.DecodeString(c.State)
	if err != nil {
		return fmt.Errorf("--state: %w", err)
	}
	return c.send(s, radius.AccessRequest, func(p *radius.Packet, secret []byte) error {
		if err := p.Add(radius.UserName, []byte(c.User)); err != nil {
			return fmt.Errorf("--user: %w", err)
		}
		if c.Chap { // RFC 2865 section 5.3; the authenticator is the challenge
			ident := p.ID
			sum := md5.Sum(append(append([]byte{ident}, password...), p.Authenticator[:]...))
			p.Add(radius.CHAPPassword, append([]byte{ident}, sum[:]...))
		} else {
			h, err := radius.HidePassword([]byte(password), secret, p.Authenticator)
			if err != nil {
				return fmt.Errorf("the password: %w", err)
			}
			p.Add(radius.UserPassword, h)
		}
		if len(state) > 0 {
			if err := p.Add(radius.State, state); err != nil {
				return fmt.Errorf("--state: %w", err)
			}
		}
		return nil
	})
}

type accountingCmd struct {
	ask
	Session string        `required:"" help:"Acct-Session-Id."`
	Event   string        `enum:"start,stop,interim,on,off" default:"start" help:"start, stop, interim, on or off."`
	User    string        `help:"User-Name."`
	At      int64         `help:"When it happened, seconds since 1970; now if left out. The same event has the same time."`
	Delay   time.Duration `help:"Acct-Delay-Time: since when this is tried."`
}

// Run sends it.
func (c *accountingCmd) Run(s *streams) error {
	status := map[string]uint32{"start": 1, "stop": 2, "interim": 3, "on": 7, "off": 8}[c.Event] // RFC 2866 section 5.1
	return c.send(s, radius.AccountingRequest, func(p *radius.Packet, _ []byte) error {
		p.AddUint32(radius.AcctStatusType, status)
		if err := p.Add(radius.AcctSessionID, []byte(c.Session)); err != nil {
			return fmt.Errorf("--session: %w", err)
		}
		if c.User != "" {
			if err := p.Add(radius.UserName, []byte(c.User)); err != nil {
				return fmt.Errorf("--user: %w", err)
			}
		}
		p.AddUint32(radius.EventTimestamp, uint32(cmp.Or(c.At, time.Now().Unix())))
		p.AddUint32(radius.AcctDelayTime, uint32(c.Delay/time.Second))
		return nil
	})
}

type statusCmd struct{ ask }

// Run sends it.
func (c *statusCmd) Run(s *streams) error {
	return c.send(s, radius.StatusServer, func(*radius.Packet, []byte) error { return nil })
}
