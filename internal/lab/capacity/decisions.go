package capacity

import (
	"fmt"
	"runtime"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/placement"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// benchTime is how long one decision is repeated.
const benchTime = 300 * time.Millisecond

// timeOf returns the seconds that one call of f takes.
func timeOf(f func()) float64 {
	f()
	start := time.Now()
	calls := 0
	for time.Since(start) < benchTime {
		f()
		calls++
	}
	return time.Since(start).Seconds() / float64(calls)
}

// bytesOf returns the memory that stays in use by what build returns.
func bytesOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// placementTimes measures the ranking of targets for one chat, in seconds, by
// the number of targets.
func placementTimes(sizes ...int) []Point {
	var out []Point
	for _, n := range sizes {
		candidates := make([]placement.Candidate, 0, n)
		for i := range n {
			name := fleet.Target(fmt.Sprintf("engine-%d", i))
			candidates = append(candidates, placement.Candidate{
				Target:   name,
				Hash:     placement.HashTarget(name),
				Capacity: 12,
				Slots:    12,
				Ready:    true,
			})
		}
		r := &placement.Request{Chat: 1}
		order := make([]int, 0, n)
		took := timeOf(func() {
			r.Chat++
			order = placement.Bounded{}.Rank(r, candidates, order[:0])
		})
		out = append(out, Point{Size: float64(n), Value: took})
	}
	return out
}

// memoryBytes measures the memory of remembered chats by their number.
func memoryBytes(sizes ...int) []Point {
	return growth(sizes, func(n int) any {
		m := placement.NewAffinityTable(n, time.Hour, time.Now())
		for i := range n {
			m.Put(time.Now(), uint64(i)*0x9e3779b97f4a7c15, uint32(i))
		}
		return m
	})
}

// configFigures measures the size of a configuration document and the time to
// read it, by the number of targets; accounts grow alongside.
func configFigures(sizes ...int) (size, seconds []Point, err error) {
	for _, n := range sizes {
		text, err := toml.Marshal(document(n))
		if err != nil {
			return nil, nil, fmt.Errorf("write configuration: %w", err)
		}
		took := timeOf(func() {
			if _, decodeErr := config.Decode("capacity", text); decodeErr != nil {
				err = decodeErr
			}
		})
		if err != nil {
			return nil, nil, err
		}
		size = append(size, Point{Size: float64(n), Value: float64(len(text))})
		seconds = append(seconds, Point{Size: float64(n), Value: took})
	}
	return size, seconds, nil
}

// document returns a configuration with n targets and the planned share of
// accounts for them.
func document(n int) *config.Config {
	c := config.Defaults()
	c.Site = "planned"
	c.Members = []config.Member{{Name: "member", Weight: 1}}
	for i := range PlannedModels {
		c.Models = append(c.Models, config.Model{Name: fleet.Model(fmt.Sprintf("model-%d", i))})
	}
	for i := range n {
		c.Targets = append(c.Targets, config.Target{
			Name:       fleet.Target(fmt.Sprintf("engine-%d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%PlannedDataCentres)),
			URL:        fmt.Sprintf("http://10.%d.%d.%d:8000", i%PlannedDataCentres, i/200, i%200),
			Models:     []fleet.Model{c.Models[i%PlannedModels].Name},
			Slots:      16,
			ColdSlots:  2,
		})
	}
	for i := range n * PlannedAccounts / PlannedTargets {
		c.Accounts = append(c.Accounts, config.Account{
			Name:      fleet.Account(fmt.Sprintf("account-%d", i)),
			Member:    "member",
			Weight:    1,
			KeyHashes: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return c
}
