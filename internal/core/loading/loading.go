// Package loading decides which models and adapters an engine has to load so that
// it serves what the configuration asks for.
package loading

import (
	"slices"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Model is a model with its version and adapters. An empty Version means any.
type Model struct {
	Name     fleet.Model
	Version  string
	Adapters []string
}

// Action is the load of one model, or of one adapter.
type Action struct {
	Model   fleet.Model
	Version string
	// Adapter is set if an adapter of a loaded model is to be loaded.
	Adapter string
}

// Plan returns the next load that an engine needs, and false if there is none.
// Models that are no longer wanted are not unloaded, since the engine evicts them
// itself when it needs room. An engine that reports no models is left alone.
func Plan(wanted, loaded []Model) (Action, bool) {
	if len(loaded) == 0 {
		return Action{}, false
	}
	for _, model := range wanted {
		i := slices.IndexFunc(loaded, func(m Model) bool { return m.Name == model.Name })
		if i < 0 || model.Version != "" && loaded[i].Version != model.Version {
			return Action{Model: model.Name, Version: model.Version}, true
		}
		for _, adapter := range model.Adapters {
			if !slices.Contains(loaded[i].Adapters, adapter) {
				return Action{Model: model.Name, Version: model.Version, Adapter: adapter}, true
			}
		}
	}
	return Action{}, false
}
