package rig

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Guards against two processes that are given one address: the system hands out a port again after
// its release, so that addresses on a single host repeat.
func TestFreeAddressIsNeverReused(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		addr, err := freeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("address %s was returned a second time after %d addresses", addr, len(seen))
		}
		seen[addr] = true
	}
}

// Guards against an address that is still in use when it is returned: a child process that has been
// forked but has not called exec yet keeps a copy of the listener's descriptor.
func TestFreeAddressIsUsableWhileProcessesStart(t *testing.T) {
	// The first start of a command also clones a child outside the fork lock, to find out whether the
	// system supports process descriptors. Elsewhere the daemon is built, which starts the compiler,
	// before an address is chosen.
	if err := exec.Command("/bin/true").Run(); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command("/bin/true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	for range 2000 {
		addr, err := freeAddress()
		if err != nil {
			t.Error(err)
			break
		}
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			break
		}
		ln.Close()
	}
	close(stop)
	starters.Wait()
}
