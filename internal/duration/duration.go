// Package duration provides the type of durations in TOML settings, which are written as
// "1.5s" or "200ms".
package duration

import "time"

// Duration is a time.Duration that is decoded from and encoded as text.
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler. It accepts what time.ParseDuration does.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Seconds returns the duration in seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }
