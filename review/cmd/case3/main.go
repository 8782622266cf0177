// Command case3: one of twenty RADIUS servers hangs in the middle of its work, and the accounting
// events that it has counted reach it a second time in new packets.
package main

import (
	"crypto/md5"
	"encoding/binary"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"review/harness"
)

const (
	servers       = 20
	terminals     = 10 // behind one address, whose events go to the realm of the server that hangs
	eventRate     = 2  // events a second of each
	otherRate     = 10 // events a second of the terminal at another address
	hangBegins    = 4 * time.Second
	hangLasts     = 45 * time.Second
	newEventsEnd  = 30 * time.Second
	runLasts      = 75 * time.Second
	resendEvery   = 5 * time.Second // of a terminal, with a new Acct-Delay-Time
	resendsAtMost = 8
	clientSecret  = "of the terminals"
	serverSecret  = "of the servers"
)

// packet returns an Accounting-Request.
func packet(id byte, secret string, attrs []byte) []byte {
	b := make([]byte, 20, 20+len(attrs))
	b[0], b[1] = 4, id
	binary.BigEndian.PutUint16(b[2:], uint16(20+len(attrs)))
	b = append(b, attrs...)
	sum := md5.Sum(append(append([]byte(nil), b...), secret...))
	copy(b[4:], sum[:])
	return b
}

func attr(b []byte, t byte, v []byte) []byte { return append(append(b, t, byte(2+len(v))), v...) }

func number(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }

// valid reports whether a request has the authenticator of the secret.
func valid(b []byte, secret string) bool {
	if len(b) < 20 || b[0] != 4 || int(binary.BigEndian.Uint16(b[2:])) != len(b) {
		return false
	}
	c := append([]byte(nil), b...)
	clear(c[4:20])
	return md5.Sum(append(c, secret...)) == [16]byte(b[4:20])
}

// attributes returns the values by type, in their order.
func attributes(b []byte) map[byte][][]byte {
	all := make(map[byte][][]byte)
	for b = b[20:]; len(b) >= 2 && int(b[1]) >= 2 && int(b[1]) <= len(b); b = b[b[1]:] {
		all[b[0]] = append(all[b[0]], b[2:b[1]])
	}
	return all
}

func answer(request []byte, secret string) []byte {
	b := make([]byte, 20)
	b[0], b[1] = 5, request[1]
	for _, v := range attributes(request)[33] { // Proxy-State
		b = attr(b, 33, v)
	}
	binary.BigEndian.PutUint16(b[2:], uint16(len(b)))
	copy(b[4:20], request[4:20])
	sum := md5.Sum(append(append([]byte(nil), b...), secret...))
	copy(b[4:20], sum[:])
	return b
}

// ledger has, for each event, the packets that counted it: source, identifier and authenticator.
type ledger struct {
	mu     sync.Mutex
	counts map[string][]string
}

// server counts each event once a packet. A packet that comes again is recognised by its source,
// identifier and authenticator and gets the same answer. While it hangs it counts, and answers at
// the end of the hang.
func server(c *harness.Case, name string, l *ledger, hangs func() time.Duration) string {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		c.Fatal("%v", err)
	}
	conn.SetReadBuffer(1 << 20)
	go func() {
		seen := make(map[string]bool)
		buf := make([]byte, 4096)
		for {
			n, from, err := conn.ReadFromUDP(buf)
			if err != nil {
				return
			}
			request := append([]byte(nil), buf[:n]...)
			if !valid(request, serverSecret) {
				c.Line("%s: packet that does not verify", name)
				continue
			}
			key := fmt.Sprintf("%s from %v id %d auth %x", name, from, request[1], request[4:20])
			event := string(attributes(request)[44][0])
			if !seen[key] {
				seen[key] = true
				l.mu.Lock()
				l.counts[event] = append(l.counts[event], key)
				l.mu.Unlock()
				c.Line("counted %s by a packet to %s", event, key)
			}
			reply := func() { conn.WriteToUDP(answer(request, serverSecret), from) }
			if h := hangs(); h > 0 {
				time.AfterFunc(h, reply)
			} else {
				time.AfterFunc(3*time.Millisecond, reply)
			}
		}
	}()
	return conn.LocalAddr().String()
}

// terminal reports events. Each is sent again, with a new Acct-Delay-Time and so in a new packet, until
// it is answered.
type terminal struct {
	c        *harness.Case
	name     string
	user     string
	conn     *net.UDPConn
	mu       sync.Mutex
	nextID   byte
	waiting  map[byte]chan struct{}
	answered int
	sent     int
}

func newTerminal(c *harness.Case, name, user, local, proxy string) *terminal {
	remote, err := net.ResolveUDPAddr("udp", proxy)
	if err != nil {
		c.Fatal("%v", err)
	}
	conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.ParseIP(local)}, remote)
	if err != nil {
		c.Fatal("%v", err)
	}
	k := &terminal{c: c, name: name, user: user, conn: conn, waiting: make(map[byte]chan struct{})}
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := conn.Read(buf)
			if err != nil {
				if strings.Contains(err.Error(), "closed") {
					return
				}
				continue
			}
			if n < 20 || buf[0] != 5 {
				continue
			}
			k.mu.Lock()
			if ch := k.waiting[buf[1]]; ch != nil {
				select {
				case ch <- struct{}{}:
				default:
				}
			}
			k.mu.Unlock()
		}
	}()
	return k
}

// exchange reports one event until it is answered.
func (k *terminal) exchange(event string, at time.Time) {
	for n := range resendsAtMost + 1 {
		delay := uint32(time.Since(at).Seconds())
		attrs := attr(nil, 1, []byte(k.user))
		attrs = attr(attrs, 32, []byte(k.name))
		attrs = attr(attrs, 44, []byte(event))
		attrs = attr(attrs, 40, number(1)) // Start
		attrs = attr(attrs, 55, number(uint32(at.Unix())))
		attrs = attr(attrs, 41, number(delay))
		ch := make(chan struct{}, 1)
		k.mu.Lock()
		id := k.nextID
		for k.waiting[id] != nil && id != k.nextID-1 {
			id++
		}
		k.nextID = id + 1
		k.waiting[id] = ch
		k.mu.Unlock()
		k.conn.Write(packet(id, clientSecret, attrs))
		if n == 0 {
			k.c.Line("%s reports %s", k.name, event)
		} else {
			k.c.Line("%s reports %s again, %d s later", k.name, event, delay)
		}
		select {
		case <-ch:
		case <-time.After(resendEvery):
			ch = nil
		}
		k.mu.Lock()
		delete(k.waiting, id)
		if ch != nil {
			k.answered++
		}
		k.mu.Unlock()
		if ch != nil {
			k.c.Line("%s has its answer for %s", k.name, event)
			return
		}
	}
	k.c.Line("%s has no answer for %s", k.name, event)
}

func (k *terminal) run(rate int, until time.Time) {
	for n := 0; time.Now().Before(until); n++ {
		k.mu.Lock()
		k.sent++
		k.mu.Unlock()
		go k.exchange(fmt.Sprintf("%s-%d", k.name, n), time.Now())
		time.Sleep(time.Second / time.Duration(rate))
	}
}

func main() {
	c := harness.New()
	start := time.Now()
	l := &ledger{counts: make(map[string][]string)}
	acct := c.FreeAddr("udp")
	var text strings.Builder
	fmt.Fprintf(&text, "version = 1\n[radius]\nenabled = true\nacct = %q\nremember_for = \"2m\"\n[radius.accounting]\naim = \"20s\"\n[[radius.clients]]\nname = \"shops\"\nrange = \"127.0.0.0/8\"\nsecret = %q\n", acct, clientSecret)
	for n := 1; n <= servers; n++ {
		hangs := func() time.Duration { return 0 }
		if n == servers && harness.Trouble() {
			hangs = func() time.Duration {
				if at := time.Since(start); at >= hangBegins && at < hangBegins+hangLasts {
					return hangBegins + hangLasts - at
				}
				return 0
			}
		}
		name := fmt.Sprintf("r%d", n)
		fmt.Fprintf(&text, "[[radius.servers]]\nname = %q\nacct = %q\nsecret = %q\n", name, server(c, name, l, hangs), serverSecret)
		if n == servers {
			text.WriteString("realms = [\"semarang\"]\n")
		}
	}
	s := c.Start(harness.SidecarConfig{Name: "n1", Discovery: c.Discovery([]harness.Endpoint{{Name: "s1", Address: c.FreeAddr("tcp"), Zone: "bandung", Type: "standard", Group: 1, Status: "up", Weight: 1}}), Settings: harness.Settings(1), Features: text.String()})
	c.WaitReady(s)
	var all []*terminal
	for n := range terminals {
		all = append(all, newTerminal(c, fmt.Sprintf("semarang%d", n), "shop@semarang", "127.0.0.21", acct))
		go all[n].run(eventRate, start.Add(newEventsEnd))
	}
	other := newTerminal(c, "elsewhere", "shop@jakarta", "127.0.0.22", acct)
	go other.run(otherRate, start.Add(newEventsEnd))
	all = append(all, other)
	select {
	case <-s.Done:
		c.Say("the sidecar ended")
		c.Exit(harness.Broken)
	case <-time.After(time.Until(start.Add(runLasts))):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var twice []string
	for event, by := range l.counts {
		if len(by) > 1 {
			twice = append(twice, event)
		}
	}
	sort.Strings(twice)
	for _, event := range twice {
		c.Line("COUNTED MORE THAN ONCE: %s by %s", event, strings.Join(l.counts[event], "; "))
	}
	for _, k := range all {
		k.mu.Lock()
		c.Say("%s: %d events reported, %d answered", k.name, k.sent, k.answered)
		k.mu.Unlock()
	}
	c.Say("%d events counted, %d of them more than once", len(l.counts), len(twice))
	if len(l.counts) < 300 {
		c.Fatal("too few events were counted")
	}
	if len(twice) > 0 {
		c.Exit(harness.Broken)
	}
	c.Exit(harness.Held)
}
