// Package rig starts a site for demonstrations, rehearsals and end-to-end tests: stand-in servers,
// their discovery service and a daemon in front of them.
package rig

import (
	"cmp"
	"encoding/json"
	"fmt"
	"time"

	"chalkrack/internal/standin"
)

// Class is a request class in the site's settings.
type Class struct {
	Name     string
	Effect   standin.Effect
	Scope    string        // of deduplication, for Keyed only: all, zone or cell
	Window   time.Duration // of deduplication, for Keyed only
	Aim      time.Duration
	Deadline time.Duration
	Worth    float64
}

// dedupWindowMargin is added to the window for which servers remember a key, because a request that
// is sent just before its end arrives a little later.
const dedupWindowMargin = 250 * time.Millisecond

// ActivationClasses returns the three classes of the activation service: status checks, which are
// safe, registrations of an ID, which have a key, and activations, which must not run twice.
func ActivationClasses() []Class {
	return []Class{
		{"status-check", standin.Safe, "", 0, 800 * time.Millisecond, 3 * time.Second, 1},
		{"id-register", standin.Keyed, "all", 1500 * time.Millisecond, time.Second, 2500 * time.Millisecond, 3},
		{"activate", standin.Unsafe, "", 0, 750 * time.Millisecond, 2500 * time.Millisecond, 10},
	}
}

// LongDeadlineClasses returns the classes of ActivationClasses with aims and deadlines so long that
// calls on a machine short of CPU do not exceed them.
func LongDeadlineClasses() []Class {
	classes := ActivationClasses()
	for n := range classes {
		classes[n].Aim, classes[n].Deadline = 10*time.Second, 20*time.Second
	}
	return classes
}

// SiteConfig configures a Site.
type SiteConfig struct {
	Servers               int
	Classes               []Class
	Server                standin.ServerConfig // of every server; NewSite sets Name and Ledger
	MaxAttempts           int                  // maximum for one request; 0 means 5
	NoCopies              bool                 // hedging is disabled
	NoHedge               bool                 // hedging is enabled, but so costly that its budget is almost 0
	ColdShare             float64              // share of its capacity that a server has right after its start
	WarmUpTime            time.Duration        // for which a server that has started is cold; 0: never
	StartWarm             bool                 // servers start warm; they are cold after a restart
	MaxSockets            int                  // the daemon's limit; 0 means 1,024
	MemoryMB              int                  // the daemon's limit; 0 means 192
	HasManagement         bool                 // the daemon listens on a management address
	Zones                 []string             // assigned to servers in turn, the first to the daemon; empty: one zone
	SubscribesToDiscovery bool                 // the daemon subscribes to discovery for the list of servers
	NoInitialList         bool                 // the daemon's configuration contains no list of servers
	DaemonCount           int                  // number of daemons that the configuration states; 0 means 1
}

// serverZone returns the zone of the server with an index from 0.
func (c *SiteConfig) serverZone(index int) string {
	if len(c.Zones) == 0 {
		return "z"
	}
	return c.Zones[index%len(c.Zones)]
}

// Site is a set of stand-in servers with its discovery service.
type Site struct {
	Config    SiteConfig
	Ledger    *standin.Ledger
	Servers   []*standin.Server
	Discovery *standin.Discovery
}

// NewSite starts the stand-in servers and the discovery service. The caller closes the site.
func NewSite(cfg SiteConfig) (*Site, error) {
	var longestWindow time.Duration
	for _, c := range cfg.Classes {
		longestWindow = max(longestWindow, c.Window+dedupWindowMargin)
	}
	site := &Site{Config: cfg, Ledger: standin.NewLedger(longestWindow)}
	var endpoints []standin.Endpoint
	for n := range cfg.Servers {
		serverConfig := cfg.Server
		serverConfig.Name, serverConfig.Ledger = fmt.Sprintf("s%d", n+1), site.Ledger
		server, err := standin.NewServer(serverConfig)
		if err != nil {
			site.Close()
			return nil, err
		}
		if cfg.StartWarm {
			server.SetWarm()
		}
		site.Servers = append(site.Servers, server)
		endpoints = append(endpoints, site.Endpoint(n, "up"))
	}
	var err error
	if site.Discovery, err = standin.NewDiscovery(endpoints...); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

// Endpoint returns the discovery entry of the server with an index from 0.
func (s *Site) Endpoint(index int, status string) standin.Endpoint {
	server := s.Servers[index]
	endpoint := standin.Endpoint{Name: server.Name(), Address: server.Addr(), Zone: s.Config.serverZone(index), Status: status, Weight: 1}
	if s.Config.WarmUpTime > 0 {
		endpoint.SinceMs = server.StartTime().UnixMilli()
	}
	return endpoint
}

// Close stops the discovery service and the servers.
func (s *Site) Close() {
	if s.Discovery != nil {
		s.Discovery.Close()
	}
	for _, server := range s.Servers {
		server.Close()
	}
}

// PlatformConfig returns a daemon's configuration for the site, in the platform's format.
func (s *Site) PlatformConfig(listen string, seed uint64) []byte {
	effects := map[standin.Effect]string{standin.Safe: "repeatable", standin.Keyed: "by_key", standin.Unsafe: "once"}
	var classes []map[string]any
	for _, class := range s.Config.Classes {
		entry := map[string]any{"name": class.Name, "effect": effects[class.Effect], "promiseUs": class.Aim.Microseconds(), "hardLimitUs": class.Deadline.Microseconds(), "worth": class.Worth}
		if class.Effect == standin.Keyed {
			entry["dedupScope"], entry["repeatWindowUs"] = class.Scope, class.Window.Microseconds()
		}
		classes = append(classes, entry)
	}
	attempts := s.Config.MaxAttempts
	if attempts == 0 {
		attempts = 5
	}
	wasteCost := 0.0
	if s.Config.NoHedge {
		wasteCost = 1e9
	}
	var endpoints []standin.Endpoint
	for n := range s.Servers {
		endpoints = append(endpoints, s.Endpoint(n, "up"))
	}
	initialList := map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints}
	if s.Config.NoInitialList {
		initialList = nil
	}
	registryMode := "automatic"
	if s.Config.SubscribesToDiscovery {
		registryMode = "subscribe"
	}
	management := ""
	if s.Config.HasManagement {
		management = "127.0.0.1:0"
	}
	text, err := json.Marshal(map[string]any{
		"management": management,
		"name":       "n1", "listen": listen, "discovery": s.Discovery.Addr(), "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": cmp.Or(s.Config.MemoryMB, 192), "sockets": cmp.Or(s.Config.MaxSockets, 1024)},
		"known":  initialList,
		"settings": map[string]any{
			"replicasOfMe": max(1, s.Config.DaemonCount), "zone": s.Config.serverZone(0), "registryMode": registryMode,
			"caps": map[string]any{"attemptsCap": attempts, "mayCancel": true, "secondCopies": !s.Config.NoCopies, "retryAfter": true,
				"maxRetryAfterUs": 1000000, "connIdleUs": 15000000, "dialTimeoutUs": 250000, "mostHeld": 4096},
			"costs": map[string]any{"waste": wasteCost},
			"guarantees": map[string]any{"drainGraceUs": 2000000, "askWithinUs": 10000000, "coldFrom": s.Config.ColdShare, "coldUs": s.Config.WarmUpTime.Microseconds(),
				"overloadFactor": s.Config.Server.FallFactor, "overloadForUs": s.Config.Server.FallFor.Microseconds()},
			"classes": classes,
		},
	})
	if err != nil {
		panic(err) // constants and finite numbers can always be encoded
	}
	return text
}
