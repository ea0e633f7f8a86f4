package workload

const (
	// defaultTokenMS is the time to read a prompt token until some were read: 48 to 64 are
	// read in a millisecond. minTokenMS and maxTokenMS bound what is learned.
	defaultTokenMS = 1.0 / 56
	minTokenMS     = 1.0 / 500
	maxTokenMS     = 1.0 / 2
	// readQuantile is the quantile of the times for a token that counts: the others have
	// waited for something else. Prompts below minReadTokens show more of the rest.
	readQuantile  = 0.25
	minReadTokens = 256
	// defaultEventMS is the time of an event until some were seen: 8.5 tokens of 3.4 ms.
	defaultEventMS = 29
	// defaultPromptTokens is the length of prompts until some were seen.
	defaultPromptTokens = 2000
	// fitMemory is the share of the past that a new sample of an event's time leaves, and
	// minFitSamples the weight of samples from which their batches count.
	fitMemory     = 0.98
	minFitSamples = 8
	// minSampleMS is the shortest time that counts.
	minSampleMS = 0.1
)

// machine holds how fast the usual target of a service works.
type machine struct {
	tokenMS      float64
	promptTokens float64
	// The sums of the least squares fit of an event's time to the batch, all with
	// exponentially falling weights.
	n, x, xx, y, xy float64
	// firstBias is the mean error of the expected first byte.
	firstBias bias
}

func newMachine() *machine {
	return &machine{tokenMS: defaultTokenMS, promptTokens: defaultPromptTokens}
}

// eventMS returns the time of an event at a target that holds batch requests.
func (m *machine) eventMS(batch float64) float64 {
	if m.n == 0 {
		return defaultEventMS
	}
	meanX, meanY := m.x/m.n, m.y/m.n
	spread := m.xx/m.n - meanX*meanX
	if m.n < minFitSamples || spread < 1 {
		return meanY
	}
	slope := max((m.xy/m.n-meanX*meanY)/spread, 0)
	// Beyond twice the mean there is nothing to draw from.
	return max(meanY+slope*(min(batch, 2*meanX)-meanX), meanY/4)
}

// learnEvent records the time of an event at a target that held batch requests.
func (m *machine) learnEvent(batch, ms float64) {
	if ms < minSampleMS {
		return
	}
	for _, sum := range []*float64{&m.n, &m.x, &m.xx, &m.y, &m.xy} {
		*sum *= fitMemory
	}
	m.n++
	m.x += batch
	m.xx += batch * batch
	m.y += ms
	m.xy += batch * ms
}

// learnRead records the time to the first event of a prompt with the given tokens to read.
func (m *machine) learnRead(ms, tokens, batch float64) {
	if tokens < minReadTokens {
		return
	}
	perToken := max(ms-m.eventMS(batch), 0) / tokens
	m.tokenMS = min(max(stepQuantile(m.tokenMS, perToken, readQuantile), minTokenMS), maxTokenMS)
}

// learnPrompt records the length of a prompt.
func (m *machine) learnPrompt(tokens int) {
	if tokens > 0 {
		m.promptTokens += memory * (min(float64(tokens), maxSizeRatio*m.promptTokens) - m.promptTokens)
	}
}

// bias is the mean of an error.
type bias struct{ mean float64 }

// sample returns an error less the mean of those before it. What one error moves the mean by is
// bounded, as it may come from a false size.
func (b *bias) sample(x float64) float64 {
	out := x - b.mean
	b.mean += memory * min(max(out, -maxSample), maxSample)
	return out
}
