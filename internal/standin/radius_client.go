package standin

import (
	"crypto/hmac"
	"crypto/rand"
	"errors"
	"net"
	"time"

	"layeh.com/radius"
	"layeh.com/radius/rfc2865"
	"layeh.com/radius/rfc2866"
	"layeh.com/radius/rfc2869"
)

// RadiusClientRequest is a request that a terminal sends.
type RadiusClientRequest struct {
	User, Password string // of an access request; without a User it is an accounting request
	State          []byte
	NAS, Session   string    // Session is for accounting only
	Status         uint32    // Acct-Status-Type: 1 start, 2 stop, 3 interim update
	EventTime      time.Time // of the accounting event; zero to leave it out

	MaxPackets     int           // how many packets are sent at most
	ResendInterval time.Duration // how long to wait for an answer to each packet
	NewID          bool          // each retransmission has a new identifier and a new Acct-Delay-Time
	NewPort        bool          // each retransmission comes from another port
	Unsigned       bool          // access without a Message-Authenticator
}

// RadiusReply is the result of a terminal's request.
type RadiusReply struct {
	Code        radius.Code // 0 if no valid answer came
	Packet      *radius.Packet
	PacketsSent int
	Err         error
}

// RadiusClient stands in for a counter terminal. It may be used from any goroutine.
type RadiusClient struct {
	serverAddr string
	secret     []byte
	localIP    string
}

// NewRadiusClient returns a terminal that sends to serverAddr from the address localIP; an empty
// localIP leaves the choice to the system.
func NewRadiusClient(serverAddr, secret, localIP string) *RadiusClient {
	return &RadiusClient{serverAddr: serverAddr, secret: []byte(secret), localIP: localIP}
}

// dial returns a new socket that is connected to the server.
func (c *RadiusClient) dial() (*net.UDPConn, error) {
	to, err := net.ResolveUDPAddr("udp", c.serverAddr)
	if err != nil {
		return nil, err
	}
	var from *net.UDPAddr
	if c.localIP != "" {
		from = &net.UDPAddr{IP: net.ParseIP(c.localIP)}
	}
	return net.DialUDP("udp", from, to)
}

// Encode returns a request as sent; acctDelay is its Acct-Delay-Time.
func (c *RadiusClient) Encode(request RadiusClientRequest, identifier byte, authenticator [16]byte, acctDelay time.Duration) []byte {
	code := radius.CodeAccountingRequest
	if request.User != "" {
		code = radius.CodeAccessRequest
	}
	packet := &radius.Packet{Code: code, Identifier: identifier, Authenticator: authenticator, Secret: c.secret}
	if request.User != "" {
		if !request.Unsigned {
			rfc2869.MessageAuthenticator_Set(packet, make([]byte, 16))
		}
		rfc2865.UserName_SetString(packet, request.User)
		rfc2865.UserPassword_SetString(packet, request.Password)
		if len(request.State) > 0 {
			rfc2865.State_Set(packet, request.State)
		}
	} else {
		rfc2866.AcctStatusType_Set(packet, rfc2866.AcctStatusType(request.Status))
		rfc2866.AcctSessionID_SetString(packet, request.Session)
		rfc2866.AcctDelayTime_Set(packet, rfc2866.AcctDelayTime(acctDelay/time.Second))
		if !request.EventTime.IsZero() {
			rfc2869.EventTimestamp_Set(packet, request.EventTime)
		}
	}
	rfc2865.NASIdentifier_SetString(packet, request.NAS)
	rfc2865.ProxyState_Add(packet, []byte("of the terminal"))
	return signAndEncode(packet, authenticator)
}

// Do sends a request and sends it again while no valid answer comes. It blocks until the answer
// comes or the ResendInterval after the last packet is over.
func (c *RadiusClient) Do(request RadiusClientRequest) (reply RadiusReply) {
	conn, err := c.dial()
	if err != nil {
		return RadiusReply{Err: err}
	}
	defer func() { conn.Close() }()
	var authenticator [16]byte
	rand.Read(authenticator[:])
	identifier := authenticator[0]
	wire := c.Encode(request, identifier, authenticator, 0)
	buf := make([]byte, 4096)
	for n := range request.MaxPackets {
		if n > 0 && request.NewPort {
			conn.Close()
			if conn, err = c.dial(); err != nil {
				return RadiusReply{PacketsSent: n, Err: err}
			}
		}
		if n > 0 && request.NewID {
			identifier++
			wire = c.Encode(request, identifier, authenticator, time.Duration(n)*time.Second)
		}
		conn.Write(wire)
		reply.PacketsSent++
		deadline := time.Now().Add(request.ResendInterval)
		for {
			conn.SetReadDeadline(deadline)
			length, err := conn.Read(buf)
			if err != nil {
				if time.Now().Before(deadline) { // the port is closed and may open before the deadline
					time.Sleep(time.Until(deadline))
				}
				break
			}
			packet, err := radius.Parse(buf[:length], c.secret)
			if err != nil || packet.Identifier != identifier || !radius.IsAuthenticResponse(buf[:length], wire, c.secret) {
				reply.Err = errors.New("standin: the answer is malformed or has a wrong identifier or authenticator")
				continue
			}
			if packet.Code != radius.CodeAccountingResponse {
				want, ok := messageAuthenticator(buf[:length], [16]byte(wire[4:20]), c.secret)
				if !ok || !hmac.Equal(want, rfc2869.MessageAuthenticator_Get(packet)) {
					reply.Err = errors.New("standin: the answer has no valid Message-Authenticator")
					continue
				}
			}
			reply.Code, reply.Packet, reply.Err = packet.Code, packet, nil
			return reply
		}
	}
	return reply
}

// Send sends a datagram without waiting for an answer. Errors are ignored.
func (c *RadiusClient) Send(datagram []byte) {
	if conn, err := c.dial(); err == nil {
		conn.Write(datagram)
		conn.Close()
	}
}

// Exchange sends a packet once and waits up to timeout for its answer.
func (c *RadiusClient) Exchange(wire []byte, timeout time.Duration) (reply RadiusReply) {
	conn, err := c.dial()
	if err != nil {
		return RadiusReply{Err: err}
	}
	defer conn.Close()
	conn.Write(wire)
	conn.SetReadDeadline(time.Now().Add(timeout))
	buf := make([]byte, 4096)
	length, err := conn.Read(buf)
	if err != nil {
		return RadiusReply{PacketsSent: 1, Err: err}
	}
	packet, err := radius.Parse(buf[:length], c.secret)
	if err != nil || packet.Identifier != wire[1] || !radius.IsAuthenticResponse(buf[:length], wire, c.secret) {
		return RadiusReply{PacketsSent: 1, Err: errors.New("standin: the answer is malformed or has a wrong identifier or authenticator")}
	}
	return RadiusReply{Code: packet.Code, Packet: packet, PacketsSent: 1}
}
