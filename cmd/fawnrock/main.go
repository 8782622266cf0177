// Command fawnrock is the sidecar: a process between an application and its servers, which hosts
// one balancer. SIGTERM and SIGINT end it after the open calls have been answered; SIGHUP reloads
// its configuration. It exits with status 1 on an invalid configuration and on any other error.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"chalkrack/internal/config"
	"chalkrack/internal/daemon"
	"chalkrack/internal/ratelimitlog"
)

func main() {
	slog.SetDefault(ratelimitlog.New(os.Stderr, slog.LevelInfo))
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before all else: a SIGHUP without a handler would end the process
	cfg, err := config.Load(os.Getenv)
	if err == nil {
		cfg, err = config.RestoreHistory(cfg)
	}
	if err == nil {
		daemon.SetRuntimeLimits(cfg)
		err = daemon.Run(cfg, terminate, reload, nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fawnrock:", err)
		os.Exit(1)
	}
}
