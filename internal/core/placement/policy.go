package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// DefaultPolicy is the name of the policy that is used if the settings name none.
const DefaultPolicy = "bounded"

// constructors maps the names of policies to their constructors. random is seeded
// by the process.
var constructors = map[string]func(random *rand.Rand) Policy{
	DefaultPolicy:  func(*rand.Rand) Policy { return Bounded{} },
	"rendezvous":   func(random *rand.Rand) Policy { return &Rendezvous{random: random} },
	"round-robin":  func(*rand.Rand) Policy { return new(RoundRobin) },
	"least-loaded": func(random *rand.Rand) Policy { return &LeastLoaded{random: random} },
	"two-choices":  func(random *rand.Rand) Policy { return &TwoChoices{random: random} },
}

// New returns the policy with the given name.
func New(name string, random *rand.Rand) (Policy, error) {
	construct, ok := constructors[name]
	if !ok {
		return nil, fmt.Errorf("policy %q: want one of %v", name, Names())
	}
	return construct(random), nil
}

// Names returns the sorted names of all policies.
func Names() []string { return slices.Sorted(maps.Keys(constructors)) }
