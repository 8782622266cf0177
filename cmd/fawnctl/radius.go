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
		Access     radiusAccessCmd     `cmd:"" help:"Ask whether a user is allowed access (Access-Request)."`
		Accounting radiusAccountingCmd `cmd:"" help:"Report a session (Accounting-Request)."`
		Status     radiusStatusCmd     `cmd:"" help:"Ask whether the server is alive (Status-Server)."`
	} `cmd:"" help:"Send one request and show its answer. Secrets are read from files or the environment, because lists of processes show arguments."`
}

// requestFlags are the flags of all requests.
type requestFlags struct {
	To         string        `required:"" help:"IP address and port of the server."`
	SecretFile string        `help:"File with the shared secret; FAWN_RADIUS_SECRET by default."`
	Tries      int           `default:"3" help:"Maximum number of packets sent."`
	Wait       time.Duration `default:"1s" help:"How long to wait for an answer after each packet."`
	ID         int           `default:"-1" help:"Identifier, 0 to 255; random by default. An accounting request with the same identifier and content is the same packet."`
	NAS        string        `name:"nas" default:"fawnctl" help:"NAS-Identifier."`
	Unsigned   bool          `help:"Accept an answer to access without Message-Authenticator, which anybody on the network path can forge."`
}

// errRejected means that the answer is an Access-Reject; errNoSecret that no shared secret is set.
var (
	errRejected = errors.New("rejected")
	errNoSecret = errors.New("no secret: give --secret-file or set FAWN_RADIUS_SECRET")
)

// maxSecretBytes is the maximum size of a file with a secret or a password.
const maxSecretBytes = 4 << 10

// readSecret returns the content of the file without line ends at its end. Without a path it
// returns the environment variable's value.
func readSecret(path, envVar string) (string, error) {
	if path == "" {
		return os.Getenv(envVar), nil
	}
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxSecretBytes+1))
	if err == nil && len(text) > maxSecretBytes {
		err = fmt.Errorf("%s: longer than %d bytes", path, maxSecretBytes)
	}
	return strings.TrimRight(string(text), "\r\n"), err
}

// sendRequest sends a request, to which addAttributes adds the attributes of its kind, and prints
// the answer. It returns errRejected for an Access-Reject.
func (a *requestFlags) sendRequest(streams *stdStreams, code radius.Code, addAttributes func(packet *radius.Packet, secret []byte) error) error {
	to, err := netip.ParseAddrPort(a.To)
	if err != nil {
		return fmt.Errorf("--to: %w", err)
	}
	secret, err := readSecret(a.SecretFile, "FAWN_RADIUS_SECRET")
	if err != nil {
		return fmt.Errorf("--secret-file: %w", err)
	}
	if secret == "" {
		return errNoSecret
	}
	packet := &radius.Packet{Code: code}
	rand.Read(packet.Authenticator[:])
	packet.ID = packet.Authenticator[0]
	if a.ID >= 0 {
		if a.ID > 255 {
			return fmt.Errorf("--id: must be between 0 and 255")
		}
		packet.ID = byte(a.ID)
	}
	if code != radius.AccountingRequest {
		packet.Add(radius.MessageAuthenticator, make([]byte, 16))
	}
	if err := packet.Add(radius.NASIdentifier, []byte(a.NAS)); err != nil {
		return fmt.Errorf("--nas: %w", err)
	}
	if err := addAttributes(packet, []byte(secret)); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reply, err := client.Ask(ctx, client.Config{Server: to, Secret: []byte(secret), MaxPackets: a.Tries, ResendInterval: a.Wait, AllowUnsignedAnswers: a.Unsigned}, packet)
	if err != nil {
		return err
	}
	fmt.Fprintf(streams.out, "%v from %v after %v, %d sent\n", reply.Packet.Code, to, reply.Elapsed.Round(10*time.Microsecond), reply.PacketsSent)
	for t, value := range reply.Packet.All {
		fmt.Fprintf(streams.out, "  %s\n", formatAttribute(t, value))
	}
	if reply.Packet.Code == radius.AccessReject {
		return errRejected
	}
	return nil
}

// attributeNames are the names of common attributes of answers. Others are printed by number.
var attributeNames = map[radius.Type]string{
	radius.UserName: "User-Name", 6: "Service-Type", 8: "Framed-IP-Address", 11: "Filter-Id", 18: "Reply-Message",
	radius.State: "State", 25: "Class", 27: "Session-Timeout", 28: "Idle-Timeout", radius.ProxyState: "Proxy-State",
	radius.ErrorCause: "Error-Cause",
}

// formatAttribute formats an attribute as a line. It leaves out values that are encrypted with the
// secret or may hold secrets, and the Message-Authenticator, which client.Ask has verified.
func formatAttribute(attributeType radius.Type, value []byte) string {
	name := cmp.Or(attributeNames[attributeType], "attribute "+strconv.Itoa(int(attributeType)))
	switch attributeType {
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

type radiusAccessCmd struct {
	requestFlags
	User         string `required:"" help:"User-Name, including the realm: nemo@shop."`
	PasswordFile string `help:"File with the password; FAWN_RADIUS_PASSWORD by default."`
	Chap         bool   `help:"Use CHAP for the password."`
	State        string `help:"State of an Access-Challenge, in hex: continues that conversation."`
}

// Run sends an Access-Request.
func (c *radiusAccessCmd) Run(streams *stdStreams) error {
	password, err := readSecret(c.PasswordFile, "FAWN_RADIUS_PASSWORD")
	if err != nil {
		return fmt.Errorf("--password-file: %w", err)
	}
	state, err := hex.DecodeString(c.State)
	if err != nil {
		return fmt.Errorf("--state: %w", err)
	}
	return c.sendRequest(streams, radius.AccessRequest, func(packet *radius.Packet, secret []byte) error {
		if err := packet.Add(radius.UserName, []byte(c.User)); err != nil {
			return fmt.Errorf("--user: %w", err)
		}
		if c.Chap { // RFC 2865 section 5.3; the authenticator is the challenge
			chapID := packet.ID
			sum := md5.Sum(append(append([]byte{chapID}, password...), packet.Authenticator[:]...))
			packet.Add(radius.CHAPPassword, append([]byte{chapID}, sum[:]...))
		} else {
			hiddenPassword, err := radius.HidePassword([]byte(password), secret, packet.Authenticator)
			if err != nil {
				return fmt.Errorf("the password: %w", err)
			}
			packet.Add(radius.UserPassword, hiddenPassword)
		}
		if len(state) > 0 {
			if err := packet.Add(radius.State, state); err != nil {
				return fmt.Errorf("--state: %w", err)
			}
		}
		return nil
	})
}

type radiusAccountingCmd struct {
	requestFlags
	Session string        `required:"" help:"Acct-Session-Id."`
	Event   string        `enum:"start,stop,interim,on,off" default:"start" help:"start, stop, interim, on or off."`
	User    string        `help:"User-Name."`
	At      int64         `help:"Time of the event, in seconds since 1970; now by default. Set the same time when an event is sent again."`
	Delay   time.Duration `help:"Acct-Delay-Time: how long the request has been tried."`
}

// Run sends an Accounting-Request.
func (c *radiusAccountingCmd) Run(streams *stdStreams) error {
	status := map[string]uint32{"start": 1, "stop": 2, "interim": 3, "on": 7, "off": 8}[c.Event] // RFC 2866 section 5.1
	return c.sendRequest(streams, radius.AccountingRequest, func(packet *radius.Packet, _ []byte) error {
		packet.AddUint32(radius.AcctStatusType, status)
		if err := packet.Add(radius.AcctSessionID, []byte(c.Session)); err != nil {
			return fmt.Errorf("--session: %w", err)
		}
		if c.User != "" {
			if err := packet.Add(radius.UserName, []byte(c.User)); err != nil {
				return fmt.Errorf("--user: %w", err)
			}
		}
		packet.AddUint32(radius.EventTimestamp, uint32(cmp.Or(c.At, time.Now().Unix())))
		packet.AddUint32(radius.AcctDelayTime, uint32(c.Delay/time.Second))
		return nil
	})
}

type radiusStatusCmd struct{ requestFlags }

// Run sends a Status-Server request.
func (c *radiusStatusCmd) Run(streams *stdStreams) error {
	return c.sendRequest(streams, radius.StatusServer, func(*radius.Packet, []byte) error { return nil })
}
