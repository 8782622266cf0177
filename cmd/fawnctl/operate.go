package main

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"chalkrack/internal/admin"
	"chalkrack/internal/management"
)

type operateCmd struct {
	Management string   `env:"BALANCER_MANAGEMENT" help:"Address of the sidecar's management interface, host:port."`
	Socket     string   `help:"The daemon's Unix socket for operators, used in place of --management."`
	Call       []string `arg:"" help:"The call: ready, stats, disable ID, enable ID, drain or undrain."`
}

// Run makes one call and prints the answer.
func (c *operateCmd) Run(streams *stdStreams) error {
	line := strings.Join(append([]string{strings.ToUpper(c.Call[0])}, c.Call[1:]...), " ")
	var answer string
	var err error
	switch {
	case c.Socket != "":
		if err = admin.Do(context.Background(), c.Socket, "operate", line, &answer); err == nil {
			err = management.CheckAnswer(answer)
		}
	case c.Management != "":
		answer, err = management.Send(context.Background(), c.Management, line)
	default:
		return errors.New("--management or --socket must be set")
	}
	if err != nil {
		return err
	}
	fmt.Fprint(streams.out, answer)
	return nil
}
