package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Limits of values.
const (
	minBound          = 1.0
	maxBound          = 10.0
	maxAttempts       = 10
	maxPartitions     = 1024
	minControlBytes   = 500
	minHeartbeat      = 50 * time.Millisecond
	maxHeartbeat      = 10 * time.Second
	minLeaseBeats     = 2
	minOrderWindow    = time.Minute
	maxNameLength     = 64
	keyHashDigits     = 64
	nextCorrectValue  = "correct the value"
	nextRenameOrDrop  = "rename one of the rows or remove it"
	nextDeclareOrEdit = "declare it, or correct the name"
)

var (
	namePattern   = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)
	hashPattern   = regexp.MustCompile(`^[0-9a-f]{64}$`)
	quotedHash    = regexp.MustCompile(`["'][0-9a-f]{64}["']`)
	methodPattern = regexp.MustCompile(`^[A-Z]+$`)
)

// checker collects the problems of a merged configuration.
type checker struct {
	m        *Merged
	c        *Config
	problems Problems
}

// Validate checks every rule of the merged configuration.
func (m *Merged) Validate() error {
	k := &checker{m: m, c: m.Config}
	k.members()
	k.sites()
	k.dataCentres()
	k.vms()
	k.models()
	k.services()
	k.targets()
	k.accounts()
	k.operators()
	k.keys()
	k.rules()
	return k.problems.Err()
}

// fail notes a problem at key, or at the nearest part of it that a document
// sets.
func (k *checker) fail(key, next, format string, args ...any) {
	p := &Problem{File: k.m.base, Key: key, Message: fmt.Sprintf(format, args...), Next: next}
	for at := key; at != ""; at = parentKey(at) {
		if o, ok := k.m.origins[at]; ok {
			p.File, p.Line = o.File, o.Line
			break
		}
	}
	k.problems = append(k.problems, p)
}

// parentKey returns the row or section that holds a key.
func parentKey(key string) string {
	if i := strings.LastIndex(key, "]."); i >= 0 {
		return key[:i+1]
	}
	if i := strings.IndexByte(key, '['); i >= 0 {
		return key[:i]
	}
	return key[:max(0, strings.LastIndexByte(key, '.'))]
}

func row(section, name string) string { return section + "[" + name + "]" }

// names checks the names of a section's rows and returns them as a set.
func names[N ~string](k *checker, section string, all []N) map[N]bool {
	seen := make(map[N]bool, len(all))
	for i, n := range all {
		switch {
		case n == "":
			k.fail(section, "give the row a name", "row %d has no name", i+1)
		case len(n) > maxNameLength || !namePattern.MatchString(string(n)):
			k.fail(row(section, string(n)), "use letters, digits, '.', '_' and '-'", "want a name of at most %d such characters, have %q", maxNameLength, string(n))
		case seen[n]:
			k.fail(row(section, string(n)), nextRenameOrDrop, "the name is used twice")
		}
		seen[n] = true
	}
	return seen
}

func namesOf[T any, N ~string](rows []T, name func(*T) N) []N {
	out := make([]N, 0, len(rows))
	for i := range rows {
		out = append(out, name(&rows[i]))
	}
	return out
}

func (k *checker) members() {
	names(k, "members", namesOf(k.c.Members, func(m *Member) fleet.Member { return m.Name }))
	for _, m := range k.c.Members {
		if m.Weight <= 0 {
			k.fail(row("members", string(m.Name))+".weight", nextCorrectValue, "want a weight above zero, have %v", m.Weight)
		}
	}
}

func (k *checker) hasMember(name fleet.Member) bool {
	return slices.ContainsFunc(k.c.Members, func(m Member) bool { return m.Name == name })
}

func (k *checker) memberRef(key string, name fleet.Member) {
	if !k.hasMember(name) {
		k.fail(key, nextDeclareOrEdit, "no member %q", string(name))
	}
}

func (k *checker) sites() {
	names(k, "sites", namesOf(k.c.Sites, func(s *SiteRow) fleet.Site { return s.Name }))
	for _, s := range k.c.Sites {
		k.memberRef(row("sites", string(s.Name))+".member", s.Member)
	}
}

func (k *checker) dataCentres() {
	known := names(k, "data_centres", namesOf(k.c.DataCentres, func(d *DataCentre) fleet.DataCentre { return d.Name }))
	for i := range k.c.DataCentres {
		d := &k.c.DataCentres[i]
		key := row("data_centres", string(d.Name))
		k.mark(key, d.Mark)
		for _, near := range d.Nearest {
			if !known[near] || near == d.Name {
				k.fail(key+".nearest", nextDeclareOrEdit, "no other data centre %q", string(near))
			}
		}
	}
}

func (k *checker) mark(key string, m fleet.Mark) {
	if m != fleet.MarkNone && m != fleet.MarkDrain {
		k.fail(key+".mark", nextCorrectValue, "want %q or no mark, have %q", string(fleet.MarkDrain), string(m))
	}
}

func (k *checker) vms() {
	names(k, "vms", namesOf(k.c.VMs, func(v *VM) fleet.VM { return v.Name }))
	for _, v := range k.c.VMs {
		k.mark(row("vms", string(v.Name)), v.Mark)
	}
}

func (k *checker) models() {
	names(k, "models", namesOf(k.c.Models, func(m *Model) fleet.Model { return m.Name }))
}

func (k *checker) services() {
	names(k, "services", namesOf(k.c.Services, func(s *Service) fleet.Service { return s.Name }))
	for i := range k.c.Services {
		s := &k.c.Services[i]
		key := row("services", string(s.Name))
		for _, m := range s.OrderMethods {
			if !methodPattern.MatchString(m) {
				k.fail(key+".order_methods", nextCorrectValue, "want HTTP methods such as \"POST\", have %q", m)
			}
		}
		if p := s.StatusPath; p != "" && (!strings.HasPrefix(p, "/") || !strings.Contains(p, "{key}")) {
			k.fail(key+".status_path", nextCorrectValue, "want a path such as \"/orders/{key}\", have %q", p)
		}
	}
}

// rules checks the sections of single values.
func (k *checker) rules() {
	c := k.c
	k.between("load.bound", c.Load.Bound, minBound, maxBound)
	k.atLeast("load.queue_length", c.Load.QueueLength, 1)
	k.positive("load.queue_wait", c.Load.QueueWait)
	k.positive("load.sticky_wait", c.Load.StickyWait)
	k.positive("load.probe_period", c.Load.ProbePeriod)
	k.positive("load.report_lag", c.Load.ReportLag)
	k.atLeast("load.memory_entries", c.Load.MemoryEntries, 1)
	k.atLeast("control.voters", c.Control.Voters, 1)
	k.positive("deadlines.chat", c.Deadlines.Chat)
	k.positive("deadlines.service", c.Deadlines.Service)
	k.positive("deadlines.first_token", c.Deadlines.FirstToken)
	k.positive("deadlines.progress", c.Deadlines.Progress)
	if c.Deadlines.FirstToken > c.Deadlines.Chat {
		k.fail("deadlines.first_token", nextCorrectValue, "want at most deadlines.chat %v, have %v", c.Deadlines.Chat.Std(), c.Deadlines.FirstToken.Std())
	}
	k.between("retry.account_ratio", c.Retry.AccountRatio, 0, 1)
	k.between("retry.target_ratio", c.Retry.TargetRatio, 0, 1)
	k.between("retry.max_attempts", float64(c.Retry.MaxAttempts), 1, maxAttempts)
	k.atLeast("control.bytes_per_second", c.Control.BytesPerSecond, minControlBytes)
	if h := c.Control.Heartbeat.Std(); h < minHeartbeat || h > maxHeartbeat {
		k.fail("control.heartbeat", nextCorrectValue, "want between %v and %v, have %v", minHeartbeat, maxHeartbeat, h)
	}
	if c.Control.Lease < minLeaseBeats*c.Control.Heartbeat {
		k.fail("control.lease", nextCorrectValue, "want at least %d heartbeats of %v, have %v", minLeaseBeats, c.Control.Heartbeat.Std(), c.Control.Lease.Std())
	}
	k.between("orders.partitions", float64(c.Orders.Partitions), 1, maxPartitions)
	if w := c.Orders.Window.Std(); w < minOrderWindow {
		k.fail("orders.window", nextCorrectValue, "want at least %v, have %v", minOrderWindow, w)
	}
	k.atLeast("orders.appends_per_second", c.Orders.AppendsPerSecond, 1)
}

func (k *checker) between(key string, v, low, high float64) {
	if !(v >= low && v <= high) {
		k.fail(key, nextCorrectValue, "want a number from %v to %v, have %v", low, high, v)
	}
}

func (k *checker) atLeast(key string, v, low int) {
	if v < low {
		k.fail(key, nextCorrectValue, "want at least %d, have %d", low, v)
	}
}

func (k *checker) positive(key string, d Duration) {
	if d <= 0 {
		k.fail(key, nextCorrectValue, "want a time above zero such as \"2s\", have %v", d.Std())
	}
}
