// Package client sends one RADIUS request to a server or proxy, as a network access server does.
// It retransmits the same packet until a valid answer comes (RFC 5080 section 2.2.1, but without
// the jitter of the RFC).
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

// Config says where a request is sent, with which secret, and how often.
type Config struct {
	Server         netip.AddrPort
	Secret         []byte
	MaxPackets     int           // number of packets sent at most, 1 to 100
	ResendInterval time.Duration // time to wait for the answer after each packet
	// AllowUnsignedAnswers accepts answers to Access-Requests without Message-Authenticator, which
	// can be forged (CVE-2024-3596).
	AllowUnsignedAnswers bool
}

// Reply is an answer, with the packets and the time that the exchange took.
type Reply struct {
	Packet      *radius.Packet
	PacketsSent int
	Dropped     int           // datagrams received that were not a valid answer
	Elapsed     time.Duration // from the first packet to the answer
}

var (
	// ErrNoAnswer reports that no valid answer came in time.
	ErrNoAnswer = errors.New("no answer")
	// ErrPortRefused reports that no process listens on the server's port.
	ErrPortRefused = errors.New("connection refused: nothing listens on the port")
)

// maxPacketsLimit is the highest valid MaxPackets.
const maxPacketsLimit = 100

// Ask signs the request, sends it until a valid answer comes, and returns the answer. It blocks
// until then, until ctx is done, or until all packets were sent and the wait after the last one is
// over. It first sets the authenticator of an Access-Request or Status-Server to random bytes if it
// is zero. The text of ErrNoAnswer contains the number of datagrams that were dropped as invalid:
// with a wrong secret, all answers are.
func Ask(ctx context.Context, cfg Config, request *radius.Packet) (reply Reply, err error) {
	if cfg.MaxPackets < 1 || cfg.MaxPackets > maxPacketsLimit || cfg.ResendInterval <= 0 {
		return reply, fmt.Errorf("radius: tries must be within 1 and %d, and the wait above 0", maxPacketsLimit)
	}
	if request.Code != radius.AccountingRequest && request.Authenticator == (radius.Authenticator{}) {
		rand.Read(request.Authenticator[:])
	}
	request.SignRequest(cfg.Secret)
	wire := request.Marshal()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(cfg.Server))
	if err != nil {
		return reply, fmt.Errorf("radius: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })()
	started := time.Now()
	refusals := 0
	buf := make([]byte, radius.MaxPacketBytes)
	for range cfg.MaxPackets {
		if _, err := conn.Write(wire); err == nil {
			reply.PacketsSent++
		}
		resendAt := time.Now().Add(cfg.ResendInterval)
		for {
			conn.SetReadDeadline(resendAt)
			if ctx.Err() != nil {
				return reply, fmt.Errorf("radius: %w", ctx.Err())
			}
			n, err := conn.Read(buf)
			var netErr net.Error
			switch {
			case errors.As(err, &netErr) && netErr.Timeout():
			case err != nil: // the port is refused: the server may start before the next packet
				refusals++
				select {
				case <-ctx.Done():
				case <-time.After(time.Until(resendAt)):
				}
			default:
				answer, err := radius.Parse(buf[:n])
				if err != nil || answer.ID != request.ID || !answer.Code.Answers(request.Code) || answer.VerifyAnswer(cfg.Secret, request.Authenticator, !cfg.AllowUnsignedAnswers) != nil {
					reply.Dropped++
					continue
				}
				reply.Packet, reply.Elapsed = answer, time.Since(started)
				return reply, nil
			}
			break
		}
	}
	if refusals > 0 && refusals >= reply.PacketsSent {
		return reply, fmt.Errorf("radius: %w", ErrPortRefused)
	}
	return reply, fmt.Errorf("radius: %w to %d packets, %d datagrams dropped as invalid", ErrNoAnswer, reply.PacketsSent, reply.Dropped)
}
