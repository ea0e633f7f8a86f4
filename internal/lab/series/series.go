// Package series turns a history into figures over time.
package series

import (
	"math"
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/check/service"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Point is a figure at a time after the start of the load.
type Point struct {
	At    time.Duration
	Value float64
}

// Set holds the four measures over time.
type Set struct {
	// Reuse is the share of prompt tokens found in cache.
	Reuse []Point
	// Skew is the largest load of an engine as a multiple of the mean.
	Skew []Point
	// Control is the largest control traffic of a router, in bytes a second.
	Control []Point
	// Service is the share of requests completed once and in time, by their
	// intended start.
	Service []Point
}

// Window is the time that one point covers.
const Window = time.Second

// Of returns the measures of a history over time.
func Of(h *history.History) Set {
	windows := int(lastStart(h)/Window) + 1
	var out Set
	for i := range windows {
		from := h.Start.Add(time.Duration(i) * Window)
		w := history.Span{From: from, To: from.Add(Window)}
		at := time.Duration(i) * Window
		out.Reuse = appendPoint(out.Reuse, at, reuse(h, w))
		out.Skew = appendPoint(out.Skew, at, skew(h, w))
		out.Control = appendPoint(out.Control, at, control(h, w))
		out.Service = appendPoint(out.Service, at, served(h, w))
	}
	return out
}

// appendPoint adds a figure unless there is none.
func appendPoint(points []Point, at time.Duration, value float64) []Point {
	if math.IsNaN(value) {
		return points
	}
	return append(points, Point{At: at, Value: value})
}

func lastStart(h *history.History) time.Duration {
	var last time.Duration
	for i := range h.Requests {
		last = max(last, h.Requests[i].Intended.Sub(h.Start))
	}
	return last
}

func reuse(h *history.History, w history.Span) float64 {
	cached, prompt := 0, 0
	for _, r := range h.EngineRuns {
		if w.Covers(r.Started) && !r.Refused {
			cached += r.CachedTokens
			prompt += r.PromptTokens
		}
	}
	return float64(cached) / float64(prompt)
}

// skew averages the load of each engine over the window.
func skew(h *history.History, w history.Span) float64 {
	busy := make(map[string]float64)
	for _, r := range h.EngineRuns {
		if !r.Refused {
			busy[string(r.Target)] += overlap(w, r.Started, r.Ended)
		}
	}
	total, slots, highest := 0.0, 0, 0.0
	for _, e := range h.Engines {
		if !inService(h, e, w.From) {
			continue
		}
		load := busy[string(e.Target)]
		total += load
		slots += e.Slots
		highest = max(highest, load/float64(e.Slots))
	}
	return highest / (total / float64(slots))
}

func overlap(w history.Span, from, to time.Time) float64 {
	if from.Before(w.From) {
		from = w.From
	}
	if to.After(w.To) {
		to = w.To
	}
	return max(0, to.Sub(from).Seconds())
}

func inService(h *history.History, e history.Engine, at time.Time) bool {
	for _, m := range h.Marks {
		if m.Covers(e.Target, e.DataCentre, at) {
			return false
		}
	}
	for _, s := range e.Up {
		if s.Covers(at) {
			return true
		}
	}
	return false
}

func control(h *history.History, w history.Span) float64 {
	highest := math.NaN()
	for _, s := range h.Control {
		if w.Covers(s.At) && !(s.Bytes <= highest) {
			highest = s.Bytes
		}
	}
	return highest
}

func served(h *history.History, w history.Span) float64 {
	part := history.History{WorkerRuns: h.WorkerRuns}
	for i := range h.Requests {
		if w.Covers(h.Requests[i].Intended) {
			part.Requests = append(part.Requests, h.Requests[i])
		}
	}
	if len(part.Requests) == 0 {
		return math.NaN()
	}
	result, _ := service.Check(&part, service.Limits{})
	return result.Service
}
