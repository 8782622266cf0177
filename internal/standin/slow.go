package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"time"
)

// Framing is how an answer tells where its body ends.
type Framing int

const (
	// ByLength states a Content-Length.
	ByLength Framing = iota
	// Chunked uses the chunked transfer coding.
	Chunked
	// ByClose ends the body with the connection.
	ByClose
)

// String returns the name of the framing.
func (f Framing) String() string { return [...]string{"length", "chunked", "close"}[f] }

// SlowAnswer is a sound answer that the server writes slowly: its head, then its body in lumps of the
// same size.
type SlowAnswer struct {
	Size      int    // bytes of the body
	Content   []byte // the body; nil: that of Body
	Framing   Framing
	Lumps     int           // at least 1
	HeadPause time.Duration // between the head and the first lump
	LumpPause time.Duration // between two lumps
}

// Body returns the body that the answer to a request has: Content, or its id again and again.
func (a *SlowAnswer) Body(id string) []byte {
	if a.Content != nil {
		return a.Content[:a.Size]
	}
	line := []byte(id + "\n")
	return bytes.Repeat(line, a.Size/len(line)+1)[:a.Size]
}

// write sends the answer and reports whether the connection can take another request.
func (a *SlowAnswer) write(conn net.Conn, id string) (reusable bool) {
	head := map[Framing]string{
		ByLength: fmt.Sprintf("Content-Length: %d\r\n", a.Size),
		Chunked:  "Transfer-Encoding: chunked\r\n",
		ByClose:  "Connection: close\r\n",
	}[a.Framing]
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
		return false
	}
	time.Sleep(a.HeadPause)
	body := a.Body(id)
	for lump := range a.Lumps {
		if lump > 0 {
			time.Sleep(a.LumpPause)
		}
		if _, err := conn.Write(a.encode(body[lump*a.Size/a.Lumps : (lump+1)*a.Size/a.Lumps])); err != nil {
			return false
		}
	}
	if a.Framing == Chunked {
		io.WriteString(conn, "0\r\n\r\n")
	}
	return a.Framing != ByClose
}

// encode returns a part of the body as it is sent.
func (a *SlowAnswer) encode(part []byte) []byte {
	if a.Framing != Chunked {
		return part
	}
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
}

const (
	slowReceiveBufferBytes = 16 << 10
	slowReadInterval       = 20 * time.Millisecond
)

// limitRate returns a reader of r that keeps to ServerConfig.ReadBytesPerSecond.
func (s *Server) limitRate(r io.Reader) io.Reader {
	if s.cfg.ReadBytesPerSecond <= 0 {
		return r
	}
	return &slowReader{r: r, bytesPerRead: max(1, int(float64(s.cfg.ReadBytesPerSecond)*slowReadInterval.Seconds()))}
}

// slowReader reads bytesPerRead bytes in each slowReadInterval.
type slowReader struct {
	r            io.Reader
	bytesPerRead int
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadInterval)
	return s.r.Read(p[:min(len(p), s.bytesPerRead)])
}
