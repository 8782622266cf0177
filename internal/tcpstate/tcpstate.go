// Package tcpstate asks the system about the state of TCP connections. Its functions take the
// descriptor of an open socket and do not block. They return an error where the system does not
// support the question.
package tcpstate

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Unread returns the number of bytes that have arrived and have not been read.
func Unread(fd uintptr) (int, error) { return unix.IoctlGetInt(int(fd), unix.SIOCINQ) }

// Unacknowledged returns the number of bytes that were written and that the peer's system has not
// acknowledged.
func Unacknowledged(fd uintptr) (int, error) { return unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }

// SinceLastData returns the time since data last arrived, to the millisecond.
func SinceLastData(fd uintptr) (time.Duration, error) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, nil
}

// defaultMaxSendBuffer is Linux's usual maximum, in bytes.
const defaultMaxSendBuffer = 4 << 20

// MaxSendBuffer returns the most bytes that the system of a peer on this machine holds of what the
// peer has written, beside those that have arrived here.
var MaxSendBuffer = sync.OnceValue(func() int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/tcp_wmem")
	if fields := strings.Fields(string(text)); err == nil && len(fields) == 3 {
		if n, err := strconv.Atoi(fields[2]); err == nil && n > 0 {
			return n
		}
	}
	return defaultMaxSendBuffer
})
