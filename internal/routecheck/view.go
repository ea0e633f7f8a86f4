package routecheck

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/zinniafork/zinniafork/internal/core/routing"
)

// ViewPath is the path at a router's metrics address that serves the View of the
// configuration in force.
const ViewPath = "/configuration"

// viewFormat is the format of an encoded View.
const viewFormat = "zinniafork-configuration-1"

// View is a configuration without its keys, which are replaced by salted hashes.
// Views with the same salt can be compared.
type View struct {
	Format string `json:"format"`
	// Salt is in hex.
	Salt string `json:"salt"`
	// Configuration has the hash of each key in the place of the key.
	Configuration *routing.Config `json:"configuration"`
}

// NewView returns the view of a configuration. The salt should be random, so that
// hashes can't be looked up in a list.
func NewView(c *routing.Config, salt []byte) *View {
	out := *c
	out.Accounts = make([]routing.Account, len(c.Accounts))
	for i, a := range c.Accounts {
		hashes := make([]string, len(a.Keys))
		for j, key := range a.Keys {
			mac := hmac.New(sha256.New, salt)
			mac.Write([]byte(key))
			hashes[j] = hex.EncodeToString(mac.Sum(nil))
		}
		a.Keys = hashes
		out.Accounts[i] = a
	}
	return &View{Format: viewFormat, Salt: hex.EncodeToString(salt), Configuration: &out}
}

// ParseView decodes a view and returns it with its salt.
func ParseView(data []byte) (*View, []byte, error) {
	var v View
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, nil, fmt.Errorf("decode configuration of a router: %w", err)
	}
	if v.Format != viewFormat || v.Configuration == nil {
		return nil, nil, errors.New("decode configuration of a router: the format is not known")
	}
	salt, err := hex.DecodeString(v.Salt)
	if err != nil {
		return nil, nil, fmt.Errorf("decode salt of a router's configuration: %w", err)
	}
	return &v, salt, nil
}
