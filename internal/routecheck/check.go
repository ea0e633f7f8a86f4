package routecheck

import (
	"maps"
	"slices"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/routing"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

const (
	// maxWeight bounds a weight, so that the weights of a route add up without
	// an overflow.
	maxWeight = 1 << 30
	// processMB is the memory that a router takes beside one large body. The
	// busiest router of a simulated site of 300 VMs took 59 MB (docs/CAPACITY.md).
	processMB = 60
	// bodyCopies is the number of copies of a body that may be in memory: while
	// it is read, the buffer that it fills and the larger one that it moves to.
	bodyCopies = 2
	bytesPerMB = 1 << 20
	// minHeaderBytes leaves room for the headers that HTTP clients usually send,
	// with a key and a request ID.
	minHeaderBytes = 512
)

// checker checks one configuration.
type checker struct {
	Reporter
	c          *routing.Config
	deployment Deployment
	// services holds the index of the row in force by name; rows with the same
	// name before it are not used.
	services map[fleet.Service]int
	// hidden tells which routes another one replaces.
	hidden []bool
	// users are the indices of the routes that send requests to a service.
	users map[fleet.Service][]int
}

// Check returns the findings about a configuration, in the order of its
// sections. Paths use the field names of routing.Config.
func Check(c *routing.Config, d Deployment) []Finding {
	k := &checker{
		c: c, deployment: d,
		services: make(map[fleet.Service]int, len(c.Services)),
		hidden:   make([]bool, len(c.Routes)),
		users:    make(map[fleet.Service][]int),
	}
	for i := range c.Services {
		k.services[c.Services[i].Name] = i
	}
	if c.Version <= 0 {
		k.Contradiction("version_not_positive", "Version",
			"the version is %d; routers ignore a version that is not above the one in force", c.Version)
	}
	if d.Version != nil && c.Version <= *d.Version {
		k.Error("version_not_newer", "Version", "routers ignore version %d, since version %d is in force", c.Version, *d.Version)
	}
	k.routes()
	k.checkServices()
	k.limits()
	k.accounts()
	k.dataCentres()
	return k.Findings
}

// limits checks the limits of callers' requests.
func (k *checker) limits() {
	l := &k.c.Limits
	k.notNegative("Limits.HeaderBytes", "header limit", int64(l.HeaderBytes))
	k.notNegative("Limits.BodyBytes", "body limit", int64(l.BodyBytes))
	k.notNegative("Limits.IdleTimeout", "idle timeout", int64(l.IdleTimeout))
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		k.Contradiction("header_limit_small", "Limits.HeaderBytes",
			"the header limit of %d bytes is below the %d bytes that usual headers may have", l.HeaderBytes, minHeaderBytes)
	}
	if mb := k.deployment.SmallestVMMB; mb > 0 {
		room := max(mb-processMB, 0) * bytesPerMB
		if limit := l.OrDefaults().BodyBytes; limit > room/bodyCopies {
			k.Contradiction("body_limit_memory", "Limits.BodyBytes",
				"a body of the limit of %d bytes may take twice that while it is read, but the smallest VM has %d MB, of which the router takes %d", limit, mb, processMB)
		}
	}
}

// dataCentres finds data centres of the deployment that serve nobody.
func (k *checker) dataCentres() {
	for _, name := range slices.Sorted(maps.Keys(k.deployment.DataCentres)) {
		if k.deployment.DataCentres[name] == 0 {
			k.NeverMatches("data_centre_without_vm", "", "the data centre %q has no VM that runs a router", name)
		}
	}
}

// notNegative reports a negative number.
func (k *checker) notNegative(path, what string, n int64) {
	if n < 0 {
		k.Error("number_negative", path, "the %s is negative", what)
	}
}

// negativeTime reports a negative time.
func (k *checker) negativeTime(path, what string, d time.Duration) {
	if d < 0 {
		k.Error("number_negative", path, "the %s is negative: %v", what, d)
	}
}
