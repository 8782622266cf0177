// Command fawncouncil runs one member of a fleet's council, which docs/design/agreement.md
// describes. Its argument is the path of its configuration. It serves until SIGTERM or an
// interrupt, and then transfers the leadership if it is the leader. Sidecars serve calls without
// it.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"chalkrack/internal/consensus"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fawncouncil:", err)
		os.Exit(1)
	}
}

func run() error {
	if len(os.Args) != 2 {
		return fmt.Errorf("usage: fawncouncil CONFIG.toml")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	text, err := os.ReadFile(os.Args[1])
	if err != nil {
		return err
	}
	cfg, err := consensus.ParseConfig(text)
	if err != nil {
		return err
	}
	s, err := consensus.Open(cfg)
	if err != nil {
		return err
	}
	err = s.Run(ctx)
	if closed := s.Close(); err == nil {
		err = closed
	}
	return err
}
