package zfctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/config"
	"github.com/zinniafork/zinniafork/internal/core/configstate"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

const (
	// pollPeriod is the time between two looks at the spread of a version.
	pollPeriod = 100 * time.Millisecond
	// staleSite is the age from which the last word of a site counts for
	// nothing.
	staleSite = 2 * time.Minute
	// shownChanges limits the changed values that a publication prints.
	shownChanges = 40
	shownNames   = 8
)

// changeFlags are the flags of commands that publish.
type changeFlags struct {
	Message string        `short:"m" help:"Comment for the history." placeholder:"TEXT"`
	Parent  *uint64       `help:"Publish only on top of this version." placeholder:"OFFSET"`
	DryRun  bool          `help:"Check everything and publish nothing."`
	NoWait  bool          `help:"Do not wait until the version is in force everywhere."`
	Wait    time.Duration `help:"Time to wait for that." default:"30s"`
}

type publishCommand struct {
	Scope string `arg:"" help:"Document: base or site/NAME." predictor:"scope"`
	File  string `arg:"" help:"File with its new text." type:"existingfile"`
	changeFlags
}

// Run publishes the file.
func (c *publishCommand) Run(ctx context.Context, g *Globals) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	text, seen := splitSeen(text)
	nonce := uuid.NewString()
	out, err := post[admin.Published](ctx, g, admin.PathPublish, admin.PublishRequest{
		Scope:   configstate.Scope(c.Scope),
		Text:    text,
		Comment: c.Message,
		Parent:  c.Parent,
		Seen:    seen,
		DryRun:  c.DryRun,
		Nonce:   nonce,
	})
	if err != nil {
		return c.explain(err, nonce, seen != nil)
	}
	return c.finish(ctx, g, out)
}

// explain names the operator's own file in problems, and the nonce when the
// outcome is not known. A file whose first line was taken off has its lines one
// further down.
func (c *publishCommand) explain(err error, nonce string, shifted bool) error {
	var e *admin.Error
	if errors.As(err, &e) {
		for _, p := range e.Problems {
			if p.File != c.Scope {
				continue
			}
			p.File = c.File
			if shifted && p.Line > 0 {
				p.Line++
			}
		}
		return err
	}
	return outcomeUnknown(err, c.DryRun, "the change may have been published; run zfctl outcome "+nonce)
}

// changeUnknown tells what to do when it isn't known whether a change was published.
const changeUnknown = "the change may have been published; look for it with zfctl history"

type rollbackCommand struct {
	Version uint64 `arg:"" help:"Version to go back to, by its offset."`
	Scope   string `help:"Document, when several differ." predictor:"scope"`
	changeFlags
}

// Run publishes the old text.
func (c *rollbackCommand) Run(ctx context.Context, g *Globals) error {
	out, err := post[admin.Published](ctx, g, admin.PathRollback, admin.RollbackRequest{
		Version: c.Version, Scope: configstate.Scope(c.Scope), Comment: c.Message, Parent: c.Parent, DryRun: c.DryRun,
	})
	if err != nil {
		return outcomeUnknown(err, c.DryRun, changeUnknown)
	}
	return c.finish(ctx, g, out)
}

// markFlags name the thing that drain and return concern.
type markFlags struct {
	Kind  string `arg:"" enum:"data-centre,vm,target" help:"data-centre, vm or target."`
	Name  string `arg:"" help:"Its name." predictor:"name"`
	Site  string `help:"Site; the router's own by default." predictor:"site"`
	Force bool   `help:"Mark also when no capacity would be left."`

	Emergency bool          `help:"Without a version, for this router's site, while the log is away."`
	For       time.Duration `help:"Time for which an emergency drain holds." default:"1h"`
	changeFlags
}

func (c *markFlags) run(ctx context.Context, g *Globals, mark fleet.Mark) error {
	if c.Emergency {
		return c.emergency(ctx, g, mark)
	}
	out, err := post[admin.Published](ctx, g, admin.PathMark, admin.MarkRequest{
		Site: fleet.Site(c.Site), Kind: c.Kind, Name: c.Name, Mark: mark, Force: c.Force,
		Comment: c.Message, Parent: c.Parent, DryRun: c.DryRun,
	})
	if err != nil {
		return outcomeUnknown(err, c.DryRun, changeUnknown)
	}
	return c.finish(ctx, g, out)
}

// emergency sets or lifts a drain beside versions.
func (c *markFlags) emergency(ctx context.Context, g *Globals, mark fleet.Mark) error {
	out, err := post[admin.Emergency](ctx, g, admin.PathEmergency, admin.EmergencyRequest{
		Kind: c.Kind, Name: c.Name, Lift: mark == fleet.MarkNone, For: config.Duration(c.For),
		Force: c.Force, Comment: c.Message, DryRun: c.DryRun,
	})
	if err != nil {
		return outcomeUnknown(err, c.DryRun, "the drain may have been set or lifted; look at zfctl status")
	}
	return g.show(out, func() {
		g.concerns(out.Affected)
		g.capacityChanges(out.Capacity)
		switch {
		case out.DryRun:
			g.printf("dry run: nothing was changed\n")
		case out.Mark.Drain:
			g.printf("taken out until %s; publish it with zfctl drain once the log is back\n", timeText(out.Mark.Until))
		default:
			g.printf("the emergency drain is lifted\n")
		}
	})
}

type drainCommand struct{ markFlags }

// Run takes the thing out.
func (c *drainCommand) Run(ctx context.Context, g *Globals) error {
	return c.run(ctx, g, fleet.MarkDrain)
}

type returnCommand struct{ markFlags }

// Run brings the thing back.
func (c *returnCommand) Run(ctx context.Context, g *Globals) error {
	return c.run(ctx, g, fleet.MarkNone)
}

// finish prints what a change does and waits until it is in force.
func (c *changeFlags) finish(ctx context.Context, g *Globals, out *admin.Published) error {
	if err := g.show(out, func() { g.published(out) }); err != nil {
		return err
	}
	if c.DryRun || c.NoWait {
		return nil
	}
	return g.await(ctx, out.Version.Version, c.Wait)
}

func (g *Globals) published(out *admin.Published) {
	g.concerns(out.Affected)
	g.changes(out.Changes, shownChanges)
	g.capacityChanges(out.Capacity)
	if out.DryRun {
		g.printf("dry run: nothing was published; it would follow version %s\n", versionText(out.Version.Version))
		return
	}
	g.printf("accepted as version %s\n", versionText(out.Version.Version))
}

// concerns prints what a mark takes out or brings back.
func (g *Globals) concerns(a *admin.Affected) {
	if a == nil {
		return
	}
	g.printf("concerns VMs: %s\nconcerns targets: %s\n", dash(join(a.VMs, shownNames)), dash(join(a.Targets, shownNames)))
}

// capacityChanges prints the capacity that a change leaves.
func (g *Globals) capacityChanges(all []admin.SiteCapacity) {
	if len(all) == 0 {
		return
	}
	var rows []table.Row
	for _, c := range all {
		running := "-"
		if c.Running >= 0 {
			running = fmt.Sprint(c.Running)
		}
		rows = append(rows, table.Row{
			c.Site, c.Kind, c.Name, c.Before, c.InService, percent(c.Share()),
			fmt.Sprintf("%d of %d", c.TargetsInService, c.Targets), running,
		})
	}
	g.table(table.Row{"Site", "Kind", "Name", "Slots now", "Slots after", "Of all", "Targets after", "Running"}, rows)
}

// await polls until every live router of every site that is heard of uses the
// version or a newer one.
func (g *Globals) await(ctx context.Context, v configstate.Version, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	began := time.Now()
	last := ""
	for {
		spread, err := get[admin.Spread](ctx, g, admin.PathSpread, nil)
		if denied(err) {
			g.note("this key is not known in the new version: look at the spread with another one")
			return nil
		}
		if err != nil && ctx.Err() == nil {
			return &codedError{
				fmt.Errorf("version %d is accepted, and where it is in force is not known: %w\n  next: see zfctl status", v.Offset, err), ExitPending,
			}
		}
		if err == nil {
			done, text := progress(spread, v)
			if done {
				g.note("in force everywhere after %v: %s", time.Since(began).Round(time.Millisecond), text)
				return nil
			}
			if text != last {
				g.note("%s", text)
				last = text
			}
		}
		select {
		case <-time.After(pollPeriod):
		case <-ctx.Done():
			return &codedError{
				fmt.Errorf("version %d is accepted and not in force everywhere after %v: %s\n  next: see zfctl status for the routers that lag",
					v.Offset, limit, last), ExitPending,
			}
		}
	}
}

// denied reports whether the key was refused, as the key of a first install is
// once there is a configuration.
func denied(err error) bool {
	var e *admin.Error
	return errors.As(err, &e) && e.Code == admin.CodeUnauthorized
}

// progress tells how far a version is. Other sites count by their last
// summaries.
func progress(s *admin.Spread, v configstate.Version) (done bool, text string) {
	var lag []string
	reached := 0
	for _, r := range s.Routers {
		switch {
		case r.InForce.Offset >= v.Offset && r.InForce.Hash != "":
			reached++
		case r.Unreachable:
			lag = append(lag, string(r.VM)+" (gives no answer)")
		case r.Problem != "":
			lag = append(lag, string(r.VM)+" ("+r.Problem+")")
		default:
			lag = append(lag, string(r.VM))
		}
	}
	text = fmt.Sprintf("%s: %d of %d routers", s.Site, reached, len(s.Routers))
	if len(lag) > 0 {
		text += ", waiting for " + join(lag, shownNames)
	}
	done = len(lag) == 0
	for _, site := range s.Sites {
		if site.Site == s.Site || time.Since(site.At) > staleSite {
			continue
		}
		if site.Version.Offset >= v.Offset && len(site.Lagging) == 0 {
			text += fmt.Sprintf("; %s: all %d routers", site.Site, site.Routers)
			continue
		}
		done = false
		text += fmt.Sprintf("; %s: its last summary is of version %d", site.Site, site.Version.Offset)
	}
	return done, text
}
