// Package client asks a RADIUS server or proxy one thing, as a terminal does: the same
// packet again until its answer comes (RFC 5080 section 2.2.1, without its jitter).
package client

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"chalkrack/internal/radius"
)

// Config is whom to ask, and how.
type Config struct {
	To     netip.AddrPort
	Secret []byte
	Tries  int           // packets at most, 1 to 100
	Wait   time.Duration // after each packet
	// Unsigned takes answers to access without Message-Authenticator (CVE-2024-3596).
	Unsigned bool
}

// Reply is an answer, and what it took.
type Reply struct {
	Packet  *radius.Packet
	Packets int // sent
	Dropped int // datagrams that were no answer
	After   time.Duration
}

var (
	// ErrNoAnswer says that none came in time.
	ErrNoAnswer = errors.New("no answer")
	// ErrRefused says that nothing listens there.
	ErrRefused = errors.New("the port is refused")
)

// triesMost bounds what one question sends.
const triesMost = 100

// Ask signs a request and sends it until its answer comes. An error says how many
// datagrams came that were no answer: a wrong secret shows in them.
func Ask(ctx context.Context, cfg Config, p *radius.Packet) (r Reply, err error) {
	if cfg.Tries < 1 || cfg.Tries > triesMost || cfg.Wait <= 0 {
		return r, fmt.Errorf("radius: tries must be within 1 and %d, and the wait above 0", triesMost)
	}
	if p.Code != radius.AccountingRequest && p.Authenticator == (radius.Authenticator{}) {
		rand.Read(p.Authenticator[:])
	}
	p.SignRequest(cfg.Secret)
	wire := p.Marshal()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(cfg.To))
	if err != nil {
		return r, fmt.Errorf("radius: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })()
	began := time.Now()
	refused := 0
	buf := make([]byte, radius.MaxPacketBytes)
	for range cfg.Tries {
		if _, err := conn.Write(wire); err == nil {
			r.Packets++
		}
		next := time.Now().Add(cfg.Wait)
		for {
			conn.SetReadDeadline(next)
			if ctx.Err() != nil {
				return r, fmt.Errorf("radius: %w", ctx.Err())
			}
			n, err := conn.Read(buf)
			var ne net.Error
			switch {
			case errors.As(err, &ne) && ne.Timeout():
			case err != nil: // a port that is refused may come up while it waits
				refused++
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(next)):
				}
			default:
				a, err := radius.Parse(buf[:n])
				if err != nil || a.ID != p.ID || !a.Code.Answers(p.Code) || a.VerifyAnswer(cfg.Secret, p.Authenticator, !cfg.Unsigned) != nil {
					r.Dropped++
					continue
				}
				r.Packet, r.After = a, time.Since(began)
				return r, nil
			}
			break
		}
	}
	if refused > 0 && refused >= r.Packets {
		return r, fmt.Errorf("radius: %w", ErrRefused)
	}
	return r, fmt.Errorf("radius: %w to %d packets, %d datagrams dropped that were none", ErrNoAnswer, r.Packets, r.Dropped)
}
