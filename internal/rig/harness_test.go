package rig_test

import (
	"testing"

	"chalkrack/internal/rig"
)

// startSiteProcess starts a site and a daemon's process without features in front of it, until the end
// of the test. It shows the daemon's log if the test fails.
func startSiteProcess(t testing.TB, cfg rig.SiteConfig) (*rig.Site, *rig.Daemon) {
	t.Helper()
	binary, err := rig.BuildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	site, err := rig.NewSite(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	daemon, err := site.StartProcess(binary, 1, "version = 1\n")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(daemon.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the daemon's log:\n%.8000s", daemon.Log())
		}
	})
	return site, daemon
}
