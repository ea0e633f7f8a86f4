// Package loading decides which orders bring an engine's models to what the
// configuration says.
package loading

import (
	"slices"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Model is one model with its version and adapters.
type Model struct {
	Name     fleet.Model
	Version  string
	Adapters []string
}

// Action is one change of what an engine holds.
type Action struct {
	Model   fleet.Model
	Version string
	// Adapter is set for the load of an adapter of a model that is held.
	Adapter string
}

// Plan returns the next change that brings an engine from what it holds to
// what is wanted, and false when there is none. Models that are not wanted any
// more stay, since the engine drops them itself when it needs room. An engine
// that names no models is left alone.
func Plan(wanted, held []Model) (Action, bool) {
	if len(held) == 0 {
		return Action{}, false
	}
	for _, w := range wanted {
		i := slices.IndexFunc(held, func(h Model) bool { return h.Name == w.Name })
		if i < 0 || w.Version != "" && held[i].Version != w.Version {
			return Action{Model: w.Name, Version: w.Version}, true
		}
		for _, adapter := range w.Adapters {
			if !slices.Contains(held[i].Adapters, adapter) {
				return Action{Model: w.Name, Version: w.Version, Adapter: adapter}, true
			}
		}
	}
	return Action{}, false
}
