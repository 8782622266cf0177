// Command fawnrock is the real sidecar: one process between an application and
// the servers, which hosts one balancer. It runs until SIGTERM.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"chalkrack/internal/config"
	"chalkrack/internal/daemon"
	"chalkrack/internal/limitlog"
)

func main() {
	slog.SetDefault(limitlog.New(os.Stderr, slog.LevelInfo))
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // from the first: unhandled, it would end the process
	c, err := config.Load(os.Getenv)
	if err == nil {
		c, err = config.RestoreHistory(c)
	}
	if err == nil {
		daemon.SetRuntimeLimits(c)
		err = daemon.Run(c, term, hup, nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "fawnrock:", err)
		os.Exit(1)
	}
}
