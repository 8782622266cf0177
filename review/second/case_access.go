package main

import (
	"crypto/hmac"
	"crypto/md5"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// sign sets the length and the Message-Authenticator, which is there as zeros. The packet has the
// authenticator of the request.
func sign(packet []byte, secret string) {
	binary.BigEndian.PutUint16(packet[2:], uint16(len(packet)))
	h := hmac.New(md5.New, []byte(secret))
	h.Write(packet)
	attrs(packet, func(kind byte, value []byte, at int) {
		if kind == messageAuthenticator {
			copy(packet[at:], h.Sum(nil))
		}
	})
}

func newAccessRequest(id byte, user, secret string) []byte {
	p := make([]byte, headBytes)
	p[0], p[1] = accessRequest, id
	rand.Read(p[4:headBytes])
	p = appendAttr(p, messageAuthenticator, make([]byte, 16))
	p = appendAttr(p, userName, []byte(user))
	p = appendAttr(p, nasIdentifier, []byte("counter-7"))
	sign(p, secret)
	return p
}

func accept(request []byte, secret string) []byte {
	p := make([]byte, headBytes)
	p[0], p[1] = accessAccept, request[1]
	copy(p[4:], request[4:headBytes])
	p = appendAttr(p, messageAuthenticator, make([]byte, 16))
	attrs(request, func(kind byte, value []byte, _ int) {
		if kind == proxyState {
			p = appendAttr(p, proxyState, value)
		}
	})
	sign(p, secret)
	h := md5.New()
	h.Write(p)
	h.Write([]byte(secret))
	copy(p[4:], h.Sum(nil))
	return p
}

func userOf(packet []byte) (user string) {
	attrs(packet, func(kind byte, value []byte, _ int) {
		if kind == userName {
			user = string(value)
		}
	})
	return user
}

// accessServers are stand-ins for servers of access. Each runs a request once and recognizes its
// repeats by their sender, identifier and authenticator (RFC 5080 section 2.2.2).
type accessServers struct {
	mu   sync.Mutex
	runs map[string][]string // by user, the servers at which its request ran
}

// add adds a server. One that hangs runs a request and doesn't answer.
func (v *accessServers) add(s *site, name, secret string, hangs bool) (addr string) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	s.must(err, "access server")
	s.onClose(func() { conn.Close() })
	go func() {
		seen := make(map[string]bool)
		for {
			buf := make([]byte, 4096)
			n, from, err := conn.ReadFrom(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil || n < headBytes || buf[0] != accessRequest {
				continue
			}
			p := buf[:n]
			user, key := userOf(p), from.String()+string(p[1])+string(p[4:headBytes])
			if seen[key] {
				s.note("%s gets the packet for %s again", name, user)
			} else {
				seen[key] = true
				v.mu.Lock()
				v.runs[user] = append(v.runs[user], name)
				v.mu.Unlock()
				s.note("%s runs the request of %s", name, user)
			}
			if hangs {
				continue
			}
			conn.WriteTo(accept(p, secret), from)
		}
	}()
	return conn.LocalAddr().String()
}

func init() { cases["access"] = caseAccess }

// caseAccess: the class of access must run once, and the access that is given up has no answer. Two of
// four servers hang after they have run a request, and the terminal sends its packet again.
func caseAccess(s *site) {
	const secret, terminals = "of the servers", "of the terminals"
	v := &accessServers{runs: make(map[string][]string)}
	text := "version = 1\n[radius]\nenabled = true\nauth = \"%s\"\non_give_up = \"silent\"\n[radius.access]\neffect = \"once\"\n[[radius.clients]]\nrange = \"127.0.0.0/8\"\nsecret = \"%s\"\n"
	auth := s.freeAddr()
	text = fmt.Sprintf(text, auth, terminals)
	for n := range 4 {
		name := fmt.Sprintf("r%d", n+1)
		text += fmt.Sprintf("[[radius.servers]]\nname = %q\nauth = %q\nsecret = %q\n", name, v.add(s, name, secret, s.trouble && n < 2), secret)
	}
	own := s.features(text)
	servers := []*server{s.server("s1", nil)}
	listen := s.freeAddr()
	config := s.configure("config.json", listen, s.discovery(servers), classes(), servers)
	s.start("sidecar", nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
	s.awaitReady(listen)

	conn, err := net.Dial("udp", auth)
	s.must(err, "terminal")
	defer conn.Close()
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := conn.Read(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil && n >= headBytes {
				s.note("the terminal gets code %d for identifier %d", buf[0], buf[1])
			}
		}
	}()
	const calls = 8
	packets := make([][]byte, calls)
	for n := range packets {
		packets[n] = newAccessRequest(byte(n), fmt.Sprintf("clerk-%d", n), terminals)
	}
	// A terminal sends a request that has no answer again after 3 s, twice at most.
	for try := range 3 {
		for n, p := range packets {
			s.note("the terminal sends the request of clerk-%d (identifier %d), try %d", n, n, try+1)
			conn.Write(p)
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
	}
	twice := 0
	v.mu.Lock()
	defer v.mu.Unlock()
	for n := range calls {
		user := fmt.Sprintf("clerk-%d", n)
		if len(v.runs[user]) == 0 {
			s.must(fmt.Errorf("the request of %s ran nowhere", user), "access")
		}
		if len(v.runs[user]) > 1 {
			twice++
		}
	}
	if twice > 0 {
		s.broken("%d of %d requests that must run once ran at more than one server: %v", twice, calls, v.runs)
	}
}
