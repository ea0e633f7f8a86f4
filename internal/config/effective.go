package config

import (
	"fmt"

	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/core/fleet"
)

// Effect derives the effective configuration of a site from the documents of
// a version.
func Effect(site fleet.Site, v configstate.Version, docs configstate.Documents) (*Effective, error) {
	text, ok := docs.Text(configstate.Base)
	if !ok {
		return nil, fmt.Errorf("version %d has no base document", v.Offset)
	}
	c, err := Decode(fmt.Sprintf("%s@%d", configstate.Base, v.Offset), []byte(text))
	if err != nil {
		return nil, err
	}
	c.Site = site
	return &Effective{Config: c, Offset: v.Offset, Hash: v.Hash}, nil
}
