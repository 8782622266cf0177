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
	Management string   `env:"BALANCER_MANAGEMENT" help:"Where the sidecar is called, host:port."`
	Socket     string   `help:"The operators' Unix socket, in place of it."`
	Call       []string `arg:"" help:"ready, stats, disable ID, enable ID, drain or undrain."`
}

// Run makes one call and shows the answer.
func (c *operateCmd) Run(s *streams) error {
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
		return errors.New("--management or --socket says where the sidecar is called")
	}
	if err != nil {
		return err
	}
	fmt.Fprint(s.out, answer)
	return nil
}
