// Package duration is a time as all settings here have it in TOML: "1.5s", "200ms".
package duration

import "time"

// Duration is a time.Duration that reads and writes itself as text.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Seconds is the time in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }
