package config

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Reasons for which an overlay may not change a value of the base.
const (
	reasonBound    = "the load bound and the queue limits are the same at every site"
	reasonRetry    = "retry budgets are the same at every site"
	reasonOrders   = "the rules of orders that run at most once are the same at every site"
	reasonFairness = "fairness rules are the same at every site"
	reasonMembers  = "members and sites are agreed in the base"
	reasonAccess   = "keys and roles of the base are changed in the base"
	reasonFencing  = "an overlay may not claim that a target checks fencing"
	reasonCold     = "an overlay may not raise the cold limit of the base"
)

// fixedValues names the values of the base that no overlay may change, by the
// path without row indices.
var fixedValues = map[string]string{
	"services.order_methods": reasonOrders,
	"services.status_path":   reasonOrders,
	"members.weight":         reasonFairness,
	"accounts.member":        reasonFairness,
	"accounts.weight":        reasonFairness,
	"accounts.key_hashes":    reasonAccess,
	"sites.member":           reasonMembers,
	"operators.member":       reasonAccess,
	"operators.role":         reasonAccess,
	"operators.sites":        reasonAccess,
	"operators.key_hashes":   reasonAccess,
}

// fixedSections are sections whose every value is fixed by the base, so that
// a key added later is fixed too.
var fixedSections = map[string]string{
	"load":   reasonBound,
	"retry":  reasonRetry,
	"orders": reasonOrders,
}

// fixedIn reports whether an overlay may not change the value at a path from
// old to proposed.
func fixedIn(at string, old, proposed reflect.Value) (reason string, fixed bool) {
	path := withoutIndices(at)
	if reason, ok := fixedValues[path]; ok {
		return reason, true
	}
	section, _, _ := strings.Cut(path, ".")
	if reason, ok := fixedSections[section]; ok {
		return reason, true
	}
	switch path {
	case "targets.checks_fencing":
		return reasonFencing, proposed.Bool()
	case "targets.cold_slots":
		return reasonCold, proposed.Int() > old.Int()
	case "accounts.max_concurrent":
		return reasonFairness, loosens(old.Int(), proposed.Int())
	}
	return "", false
}

// loosens reports whether a limit, where zero means none, lets more through.
func loosens(old, proposed int64) bool {
	return old != 0 && (proposed == 0 || proposed > old)
}

func withoutIndices(path string) string {
	parts := strings.Split(path, ".")
	kept := parts[:0]
	for _, p := range parts {
		if p != "" && (p[0] < '0' || p[0] > '9') {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, ".")
}

// rowRules checks the rows that an overlay adds.
func (w *merger) rowRules() Problems {
	var out Problems
	refuse := func(section, name, message, next string) {
		key := section + "[" + name + "]"
		origin := w.out.Origin(key)
		out = append(out, &Problem{File: origin.File, Line: origin.Line, Key: key, Message: message, Next: next})
	}
	c := w.out.Config
	added := func(section, name string) bool {
		return w.out.Origin(section+"["+name+"]").File == w.doc.name
	}
	for _, m := range c.Members {
		if added("members", string(m.Name)) {
			refuse("members", string(m.Name), reasonMembers, "add the member to the base")
		}
	}
	for _, s := range c.Sites {
		if added("sites", string(s.Name)) {
			refuse("sites", string(s.Name), reasonMembers, "add the site to the base")
		}
	}
	own := c.siteMember()
	for _, a := range c.Accounts {
		if own != "" && a.Member != own && added("accounts", string(a.Name)) {
			refuse("accounts", string(a.Name),
				fmt.Sprintf("account of member %q at a site of %q", a.Member, own), "add the account to the base")
		}
	}
	for i := range c.Operators {
		o := &c.Operators[i]
		if added("operators", o.Name) && !o.local(c.Site, own) {
			refuse("operators", o.Name,
				"an overlay may add viewers and operators of its own site and member only", "add the operator to the base")
		}
	}
	return out
}

// siteMember returns the member that runs the configuration's site, empty when
// the base does not say.
func (c *Config) siteMember() fleet.Member {
	for _, s := range c.Sites {
		if s.Name == c.Site {
			return s.Member
		}
	}
	return ""
}

// local reports whether the operator belongs to the site alone.
func (o *Operator) local(site fleet.Site, member fleet.Member) bool {
	if o.Role == RoleAdmin || member != "" && o.Member != member {
		return false
	}
	return len(o.Sites) == 1 && o.Sites[0] == site
}
