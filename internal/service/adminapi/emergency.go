package adminapi

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

// defaultEmergency is the time for which an emergency drain holds when the
// operator names none.
const defaultEmergency = time.Hour

// emergency sets or lifts a drain of this site without the log. It may only
// take things out, so it cannot loosen any rule.
func (s *Service) emergency(c *request, in admin.EmergencyRequest) (*admin.Emergency, error) {
	c.note.Subject, c.note.Detail = in.Kind+" "+in.Name, in.Comment
	site := s.identity.Self().Site
	section, ok := markable[in.Kind]
	if !ok {
		return nil, badRequest("kind: want \"data-centre\", \"vm\" or \"target\", have %q", in.Kind)
	}
	if in.For == 0 {
		in.For = config.Duration(defaultEmergency)
	}
	if in.For < 0 || in.For.Std() > configstate.MaxEmergencyDuration {
		return nil, badRequest("for: want at most %v, have %v", configstate.MaxEmergencyDuration, in.For.Std())
	}
	if err := mayOperate(c.operator, site); err != nil {
		return nil, err
	}
	e, err := s.current()
	if err != nil {
		return nil, err
	}
	out := &admin.Emergency{DryRun: in.DryRun, Mark: configstate.EmergencyMark{
		Site: site, Section: string(section), Name: in.Name, Drain: !in.Lift,
		Author: c.operator.Name, Until: s.clock.Now().Add(in.For.Std()).UTC(),
	}}
	if err := s.checkEmergency(c, section, in, e, out); err != nil {
		return nil, err
	}
	if !in.DryRun {
		out.Mark = s.config.SetEmergency(out.Mark)
	}
	return out, nil
}

// checkEmergency refuses a drain that a version could set, and one that takes
// the last capacity out.
func (s *Service) checkEmergency(
	c *request, section config.Markable, in admin.EmergencyRequest, e *config.Effective, out *admin.Emergency,
) error {
	_, docs := s.config.Newest()
	var err error
	mark := admin.MarkRequest{Site: out.Mark.Site, Kind: in.Kind, Name: in.Name}
	if out.Affected, err = s.affected(section, mark, docs); err != nil {
		return err
	}
	if in.Lift {
		out.Capacity = s.capacityBetween(e, e)
		return nil
	}
	if !in.Force && s.config.LogReadable(c.Context()) {
		return &admin.Error{
			Code: admin.CodeBadRequest, Message: "the log can be read, so an emergency drain is not needed",
			Next: fmt.Sprintf("run zfctl drain %s %s, or force it when publishing fails", in.Kind, in.Name),
		}
	}
	out.Capacity = s.capacityBetween(e, e.WithDrains([]config.Drained{{Section: section, Name: in.Name}}))
	if in.Force {
		return nil
	}
	return keepsCapacity(out.Capacity)
}

// liftEmergency ends an emergency drain of a thing that a version brings back.
func (s *Service) liftEmergency(section config.Markable, name, operator string) {
	for _, m := range s.config.Emergencies() {
		if m.Section == string(section) && m.Name == name {
			m.Drain, m.Author = false, operator
			s.config.SetEmergency(m)
		}
	}
}

// capacityBetween compares the capacity of this site under two configurations.
func (s *Service) capacityBetween(now, then *config.Effective) []admin.SiteCapacity {
	return s.capacityChanges(s.identity.Self().Site, now.Capacities(), then.Capacities())
}
