package kernel

// Reporter is a service that shows its state to operators.
type Reporter interface {
	// Report returns a value that encodes as JSON.
	Report() any
}
