package rig

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// Whoever starts beside others has an address that none of them has, or had: ports that are chosen
// and let go at one host come again.
func TestProcessesHaveAddressesOfTheirOwn(t *testing.T) {
	seen := make(map[string]bool)
	for range 2000 {
		addr, err := address()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Fatalf("%s a second time, after %d", addr, len(seen))
		}
		seen[addr] = true
	}
}

// An address can be listened at as soon as it is chosen, also where other processes are started
// just then: a child that has been forked and not executed yet has a copy of each descriptor.
func TestAddressIsFreeWhileProcessesStart(t *testing.T) {
	// The first start in a process also checks by a clone, outside of the fork lock, whether the
	// system has process descriptors. Binary runs the compiler before any address is chosen.
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
		addr, err := address()
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
