package main

import (
	"crypto/md5"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["accounting"] = caseAccounting }

const (
	accountingRequest  = 4
	accountingResponse = 5

	acctStatusType = 40
	acctSessionID  = 44
	eventTimestamp = 55
)

func newAccountingRequest(id byte, session, secret string, at time.Time) []byte {
	p := make([]byte, headBytes)
	p[0], p[1] = accountingRequest, id
	p = appendAttr(p, nasIdentifier, []byte("counter-7"))
	p = appendAttr(p, acctStatusType, []byte{0, 0, 0, 1}) // Start
	p = appendAttr(p, acctSessionID, []byte(session))
	p = appendAttr(p, eventTimestamp, binary.BigEndian.AppendUint32(nil, uint32(at.Unix())))
	binary.BigEndian.PutUint16(p[2:], uint16(len(p)))
	sum := md5.Sum(append(append([]byte{}, p...), secret...))
	copy(p[4:], sum[:])
	return p
}

func acknowledge(request []byte, secret string) []byte {
	p := make([]byte, headBytes)
	p[0], p[1] = accountingResponse, request[1]
	copy(p[4:], request[4:headBytes])
	attrs(request, func(kind byte, value []byte, _ int) {
		if kind == proxyState {
			p = appendAttr(p, proxyState, value)
		}
	})
	binary.BigEndian.PutUint16(p[2:], uint16(len(p)))
	sum := md5.Sum(append(append([]byte{}, p...), secret...))
	copy(p[4:], sum[:])
	return p
}

func sessionOf(packet []byte) (session string) {
	attrs(packet, func(kind byte, value []byte, _ int) {
		if kind == acctSessionID {
			session = string(value)
		}
	})
	return session
}

// counter is a stand-in for a server of accounting. A process of it counts an event once, recognizes
// repeats of its packet by sender, identifier and authenticator (RFC 5080 section 2.2.2), and forgets
// them with its end.
type counter struct {
	s            *site
	name, secret string
	addr         string
	work         time.Duration
	counts       *counts
	since        int64

	mu   sync.Mutex
	conn net.PacketConn
}

// counts has, for each session, the servers that counted its event.
type counts struct {
	mu sync.Mutex
	by map[string][]string
}

// run starts a process of the server.
func (v *counter) run(process int) {
	conn, err := net.ListenPacket("udp", v.addr)
	v.s.must(err, "counter")
	v.mu.Lock()
	v.conn = conn
	v.mu.Unlock()
	v.addr = conn.LocalAddr().String()
	go func() {
		seen := make(map[string]bool)
		for {
			buf := make([]byte, 4096)
			n, from, err := conn.ReadFrom(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil || n < headBytes || buf[0] != accountingRequest {
				continue
			}
			p := buf[:n]
			session, key := sessionOf(p), from.String()+string(p[1])+string(p[4:headBytes])
			if seen[key] {
				v.s.note("%s, process %d, gets the packet of %s again", v.name, process, session)
				continue // its answer comes when the work is done
			}
			seen[key] = true
			v.counts.mu.Lock()
			v.counts.by[session] = append(v.counts.by[session], fmt.Sprintf("%s process %d", v.name, process))
			v.counts.mu.Unlock()
			v.s.note("%s, process %d, counts the start of %s", v.name, process, session)
			time.AfterFunc(v.work, func() { conn.WriteTo(acknowledge(p, v.secret), from) })
		}
	}()
}

func (v *counter) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.conn.Close()
}

// changingDiscovery is a stand-in for discovery with a list that changes.
type changingDiscovery struct {
	mu      sync.Mutex
	version int
	list    func() []map[string]any
	changed chan struct{}
}

func (s *site) changingDiscovery(list func() []map[string]any) (d *changingDiscovery, addr string) {
	d = &changingDiscovery{version: 1, list: list, changed: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	s.must(err, "discovery")
	h := &http.Server{Handler: d}
	go h.Serve(ln)
	s.onClose(func() { h.Close() })
	return d, ln.Addr().String()
}

// change tells all watches the list.
func (d *changingDiscovery) change(do func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	do()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *changingDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	for told := 0; ; {
		d.mu.Lock()
		changed := d.changed
		line := []byte("\n")
		if told < d.version {
			told = d.version
			text, _ := json.Marshal(map[string]any{"index": told, "snapshot": true, "endpoints": d.list()})
			line = append(text, '\n')
		}
		d.mu.Unlock()
		if _, err := w.Write(line); err != nil || r.URL.Query().Get("watch") == "" {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}

// caseAccounting: a slow server of accounting crashes after it has counted events and before it has
// answered, and comes back at its address. Discovery tells of its start.
func caseAccounting(s *site) {
	const secret, terminals = "of the servers", "of the terminals"
	all := &counts{by: make(map[string][]string)}
	var counters []*counter
	for n := range 3 {
		v := &counter{s: s, name: fmt.Sprintf("r%d", n+1), secret: secret, addr: "127.0.0.1:0", work: 20 * time.Millisecond, counts: all}
		v.run(1)
		s.onClose(v.end)
		counters = append(counters, v)
	}
	slow := counters[0]
	slow.work = 2800 * time.Millisecond
	d, discovery := s.changingDiscovery(func() (list []map[string]any) {
		for _, v := range counters {
			list = append(list, map[string]any{"name": v.name, "address": v.addr, "zone": "bandung", "type": "standard", "group": 0, "status": "up", "weight": 1.0, "since_ms": v.since})
		}
		return list
	})
	acct := s.freeAddr()
	own := s.features(fmt.Sprintf("version = 1\n[radius]\nenabled = true\nacct = %q\nacct_discovery = %q\ndiscovery_secret = %q\n[[radius.clients]]\nrange = \"127.0.0.0/8\"\nsecret = %q\n", acct, discovery, secret, terminals))
	servers := []*server{s.server("s1", nil)}
	listen := s.freeAddr()
	config := s.configure("config.json", listen, s.discovery(servers), classes(), servers)
	s.start("sidecar", nil, "BALANCER_CONFIG="+config, "FAWN_FEATURES="+own)
	s.awaitReady(listen)
	time.Sleep(time.Second)

	conn, err := net.Dial("udp", acct)
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
	const events = 30
	began := time.Now()
	for n := range events {
		s.note("the terminal reports the start of session-%d", n)
		conn.Write(newAccountingRequest(byte(n), fmt.Sprintf("session-%d", n), terminals, began))
		time.Sleep(10 * time.Millisecond)
	}
	if s.trouble {
		time.Sleep(time.Until(began.Add(2 * time.Second)))
		s.note("%s crashes", slow.name)
		slow.end()
		time.Sleep(800 * time.Millisecond)
		d.change(func() {
			slow.work = 20 * time.Millisecond
			slow.run(2)
			slow.since = time.Now().UnixMilli()
		})
		s.note("%s is back, and discovery has told its start", slow.name)
	}
	time.Sleep(12 * time.Second)
	twice, once := 0, 0
	all.mu.Lock()
	defer all.mu.Unlock()
	for n := range events {
		switch by := all.by[fmt.Sprintf("session-%d", n)]; len(by) {
		case 0:
		case 1:
			once++
		default:
			twice++
			s.note("session-%d was counted by %v", n, by)
		}
	}
	if once+twice == 0 {
		s.must(errors.New("nothing was counted"), "accounting")
	}
	if twice > 0 {
		s.broken("%d of %d events were counted twice", twice, events)
	}
}
