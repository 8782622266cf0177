// Package weights applies the server weights of a signed plan to servers' hints. It
// encodes and verifies the plan's file, and computes the plan's hold: how strongly its
// weights apply, from 0 for not at all to 1 for in full. The package has no I/O, clock or
// goroutines. The decision module corrects every hint by its own measurements on top.
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

// Limits of a plan's file.
const (
	MaxFileBytes    = 1 << 20
	maxZones        = 64
	maxNodesPerZone = 4096
)

// Plan holds the weights of nodes, by the zone of the sidecars that use them.
type Plan struct {
	Version int                           `json:"version"`
	Made    time.Time                     `json:"made"`
	Until   time.Time                     `json:"until"` // end of its validity; the hold falls from then on
	Weights map[string]map[string]float64 `json:"weights"`
}

// signedPlan is the content of a plan's file.
type signedPlan struct {
	Plan      json.RawMessage `json:"plan"`
	Signature string          `json:"ed25519"` // signature of the plan as compact JSON, in base64
}

// Errors of Read, Write and Validate for a file or plan that is not acceptable.
var (
	ErrSignature = errors.New("weights: not signed by the key")
	ErrInvalid   = errors.New("weights: not a plan")
)

// Validate returns an error that wraps ErrInvalid and names the first invalid field, or nil.
func (p *Plan) Validate() error {
	switch {
	case p.Version != 1:
		return fmt.Errorf("%w: version must be 1, not %d", ErrInvalid, p.Version)
	case p.Made.IsZero() || !p.Until.After(p.Made):
		return fmt.Errorf("%w: made must be set, and until must be later than made", ErrInvalid)
	case len(p.Weights) == 0 || len(p.Weights) > maxZones:
		return fmt.Errorf("%w: weights must have 1 to %d zones", ErrInvalid, maxZones)
	}
	for zone, nodes := range p.Weights {
		if len(nodes) == 0 || len(nodes) > maxNodesPerZone {
			return fmt.Errorf("%w: weights.%s must have 1 to %d nodes", ErrInvalid, zone, maxNodesPerZone)
		}
		sum := 0.0
		for name, w := range nodes {
			if !(w >= 0) || math.IsInf(w, 0) {
				return fmt.Errorf("%w: weights.%s.%s must be 0 or more, not %v", ErrInvalid, zone, name, w)
			}
			sum += w
		}
		if !(sum > 0) {
			return fmt.Errorf("%w: weights.%s are all 0", ErrInvalid, zone)
		}
	}
	return nil
}

// EncodePlan returns the content of a plan's file, signed with key. Its output is deterministic.
func EncodePlan(p *Plan, key ed25519.PrivateKey) ([]byte, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(p)
	if err != nil {
		return nil, err
	}
	return json.Marshal(signedPlan{text, base64.StdEncoding.EncodeToString(ed25519.Sign(key, text))})
}

// DecodePlan verifies the signature of a plan's file and returns the plan. The plan is decoded
// only after the signature has been verified. Errors wrap ErrSignature or ErrInvalid.
func DecodePlan(data []byte, key ed25519.PublicKey) (*Plan, error) {
	if len(data) > MaxFileBytes {
		return nil, fmt.Errorf("%w: over %d bytes", ErrInvalid, MaxFileBytes)
	}
	var e signedPlan
	if err := json.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	var text bytes.Buffer
	if err := json.Compact(&text, e.Plan); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	signature, err := base64.StdEncoding.DecodeString(e.Signature)
	if err != nil || len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, text.Bytes(), signature) {
		return nil, ErrSignature
	}
	var p Plan
	d := json.NewDecoder(&text)
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := p.Validate(); err != nil {
		return nil, err
	}
	return &p, nil
}

// ParseKey decodes a public key: 32 bytes as base64.
func ParseKey(text string) (ed25519.PublicKey, error) {
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("weights: public key must be %d bytes as base64", ed25519.PublicKeySize)
	}
	return key, nil
}
