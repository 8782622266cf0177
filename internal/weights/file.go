// Package weights brings a plan's weights into use: the file they come in, and the hold
// that they have over servers' hints. It has no I/O, clock or goroutines. What is measured
// goes on top: the decision module corrects a hint by what it sees, whoever gave it.
package weights

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"
)

// Bounds of a file.
const (
	FileMost  = 1 << 20
	zonesMost = 64
	nodesMost = 4096
)

// Plan is what a plan says of the weights of nodes, by the zone whose sidecars use them.
type Plan struct {
	Version int                           `json:"version"`
	Made    time.Time                     `json:"made"`
	Until   time.Time                     `json:"until"` // it loses its hold from then on
	Weights map[string]map[string]float64 `json:"weights"`
}

// envelope is the file: the plan's text as it was signed, and the signature.
type envelope struct {
	Plan json.RawMessage `json:"plan"`
	Sign string          `json:"ed25519"` // of the plan's bytes, compacted; base64
}

// Errors of a file.
var (
	ErrSignature = errors.New("weights: not signed by the key")
	ErrForm      = errors.New("weights: not a plan")
)

// Validate says what of a plan can't be used.
func (p *Plan) Validate() error {
	switch {
	case p.Version != 1:
		return fmt.Errorf("%w: version must be 1, not %d", ErrForm, p.Version)
	case p.Made.IsZero() || !p.Until.After(p.Made):
		return fmt.Errorf("%w: made must be set, and until lie behind it", ErrForm)
	case len(p.Weights) == 0 || len(p.Weights) > zonesMost:
		return fmt.Errorf("%w: weights must have 1 to %d zones", ErrForm, zonesMost)
	}
	for zone, nodes := range p.Weights {
		if len(nodes) == 0 || len(nodes) > nodesMost {
			return fmt.Errorf("%w: weights.%s must have 1 to %d nodes", ErrForm, zone, nodesMost)
		}
		sum := 0.0
		for name, w := range nodes {
			if !(w >= 0) || math.IsInf(w, 0) {
				return fmt.Errorf("%w: weights.%s.%s must be 0 or more, not %v", ErrForm, zone, name, w)
			}
			sum += w
		}
		if !(sum > 0) {
			return fmt.Errorf("%w: weights.%s are all 0", ErrForm, zone)
		}
	}
	return nil
}

// Write is a plan's file, signed. The same plan gives the same bytes.
func Write(p *Plan, key ed25519.PrivateKey) ([]byte, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{text, base64.StdEncoding.EncodeToString(ed25519.Sign(key, text))})
}

// Read reads a plan's file and holds it against the key. Nothing of a file that is not
// signed by it is looked at further.
func Read(data []byte, key ed25519.PublicKey) (*Plan, error) {
	if len(data) > FileMost {
		return nil, fmt.Errorf("%w: over %d bytes", ErrForm, FileMost)
	}
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	var text bytes.Buffer
	if err := json.Compact(&text, e.Plan); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	sign, err := base64.StdEncoding.DecodeString(e.Sign)
	if err != nil || len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, text.Bytes(), sign) {
		return nil, ErrSignature
	}
	var p Plan
	d := json.NewDecoder(&text)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if err := p.Validate(); err != nil {
		return nil, err
	}
	return &p, nil
}

// ParseKey reads a public key: 32 bytes as base64.
func ParseKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("weights: a key is %d bytes as base64", ed25519.PublicKeySize)
	}
	return key, nil
}
