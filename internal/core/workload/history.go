package workload

import "math"

const (
	// defaultEvents and eventsPerToken are used until responses were seen. An event holds 7
	// to 10 tokens.
	defaultEvents  = 30
	eventsPerToken = 1 / 8.5
	// defaultServiceMS is the service time of a plain request until one was seen.
	defaultServiceMS = 40
	// maxEvents bounds an estimate, whatever a request says of itself.
	maxEvents = 4096
	// maxSizeRatio bounds a size that a request says of itself in relation to the mean that it
	// is added to: one false size would move a mean of all callers far.
	maxSizeRatio = 8
	// memory is the weight of a new value in the means of a history, once there are
	// 1 / memory of them.
	memory = 0.05
	// trustedSamples is the number of responses from which the history of an account
	// outweighs that of its route.
	trustedSamples = 5
	// tailRatio is the share of plain requests that take longer than the tail.
	tailRatio = 0.05
	// quantileStep is the relative step of a learned quantile.
	quantileStep = 0.05
	// minError keeps a predictor that was right by chance from counting alone.
	minError = 0.1
)

// history holds the responses to the requests of one route or account.
type history struct {
	// samples counts the responses. events is the mean of their events; hints and hinted
	// are the means of the hints and of the events of those that had one.
	samples float64
	events  float64
	hints   float64
	hinted  float64
	// hintError and meanError are the mean errors of both predictors, as logarithms.
	hintError float64
	meanError float64
	// serviceMS and tailMS are the mean time of plain requests and its tail.
	serviceMS float64
	tailMS    float64
}

func newHistory() *history {
	return &history{events: defaultEvents, hintError: 0.7, meanError: 0.7, serviceMS: defaultServiceMS, tailMS: 2 * defaultServiceMS}
}

// weight returns the weight of the next sample, large for the first ones.
func (h *history) weight() float64 { return max(memory, 1/(h.samples+1)) }

// ratio returns the events for each token of a hint.
func (h *history) ratio() float64 {
	if h.hints <= 0 {
		return eventsPerToken
	}
	return min(max(h.hinted/h.hints, eventsPerToken/20), eventsPerToken*20)
}

// predict returns the expected events of a request with the given hint, zero for none.
func (h *history) predict(hint int) float64 {
	if hint <= 0 {
		return h.events
	}
	byHint := float64(hint) * h.ratio()
	if h.samples == 0 {
		return byHint
	}
	hintWeight, meanWeight := 1/square(h.hintError+minError), 1/square(h.meanError+minError)
	return (hintWeight*byHint + meanWeight*h.events) / (hintWeight + meanWeight)
}

// blend returns the value of an account's history, with that of its route while the account
// is little known.
func (h *history) blend(own, route float64) float64 {
	share := h.samples / (h.samples + trustedSamples)
	return share*own + (1-share)*route
}

// output returns the expected events of a request.
func (h *history) output(route *history, hint int) float64 {
	return min(max(h.blend(h.predict(hint), route.predict(hint)), 1), maxEvents)
}

// learnOutput records the events of a complete response.
func (h *history) learnOutput(hint, events int) {
	w, n := h.weight(), float64(events)
	h.meanError += memory * (math.Abs(math.Log(n/max(h.events, 1))) - h.meanError)
	if hint > 0 {
		h.hintError += memory * (math.Abs(math.Log(n/max(float64(hint)*h.ratio(), 1))) - h.hintError)
		if h.hints == 0 {
			h.hints, h.hinted = float64(hint), n
		}
		h.hints += w * (min(float64(hint), maxSizeRatio*h.hints) - h.hints)
		h.hinted += w * (n - h.hinted)
	}
	h.events += w * (n - h.events)
	h.samples++
}

// service returns the expected time of a plain request and its tail.
func (h *history) service(route *history) (mean, tail float64) {
	return h.blend(h.serviceMS, route.serviceMS), h.blend(h.tailMS, route.tailMS)
}

// learnService records the time of a plain request.
func (h *history) learnService(ms float64) {
	if h.samples == 0 {
		h.tailMS = 2 * ms
	}
	h.serviceMS += h.weight() * (ms - h.serviceMS)
	h.tailMS = max(stepQuantile(h.tailMS, ms, 1-tailRatio), h.serviceMS)
	h.samples++
}

// stepQuantile moves an estimate of the p-quantile towards a sample.
func stepQuantile(q, sample, p float64) float64 {
	if sample > q {
		return q * (1 + quantileStep*p)
	}
	return q * (1 - quantileStep*(1-p))
}

func square(x float64) float64 { return x * x }
