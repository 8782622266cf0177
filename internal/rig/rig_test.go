package rig

import "testing"

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
