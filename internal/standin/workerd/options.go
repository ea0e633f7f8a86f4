package workerd

import "time"

// Options shape a worker.
type Options struct {
	ID string
	// Version is the version of the worker's software.
	Version string
	// Born returns when the process of the worker started, in Unix milliseconds.
	Born func() int64
	// Slots is the number of requests that run at once; more are refused.
	Slots int
	// Load returns the load that the worker reports, given the requests that run; nil for
	// none.
	Load func(running int) string
	// Work is the time of a plain request, and that before each event of a
	// stream.
	Work time.Duration
	// Events is the number of events of a stream.
	Events int
	// Gap is the time before each event of a stream after the first, zero for Work.
	Gap time.Duration
	// Pause is the value of Retry-After with FaultPause.
	Pause string
	// Silence is the length of a silence with FaultSilent, FaultSilentHead and
	// FaultSilentLong.
	Silence time.Duration
	// Status and ErrorBody are the answer of FaultResumeError.
	Status    int
	ErrorBody string
	// HeadBytes is the number of bytes that FaultHeadCut sends.
	HeadBytes int
	// CrashParts are the ids of prompt parts that crash the worker when it begins to
	// write an answer on them.
	CrashParts []string
	// CrashBodies are the bodies of requests that crash the worker when it runs them, a
	// stream after CrashAfter events.
	CrashBodies []string
	CrashAfter  int
	// CrashQueries are the queries of requests that crash the worker in the same way.
	CrashQueries []string
	// Restart is the time until the worker is back after a crash. Crashed and Restarted
	// are called at these times, if they are set.
	Restart   time.Duration
	Crashed   func()
	Restarted func()
	// CrashHead lets the worker send the head of an answer that ends with its
	// connection before it crashes.
	CrashHead bool
}
