package zfctl

import (
	"context"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/zinniafork/zinniafork/internal/call"
	"github.com/zinniafork/zinniafork/internal/core/usage"
	"github.com/zinniafork/zinniafork/internal/explain"
	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/service/admin"
)

type statusCommand struct{}

// Run prints the state of the site.
func (*statusCommand) Run(ctx context.Context, g *Globals) error {
	s, err := get[admin.Status](ctx, g, admin.PathStatus, nil)
	if err != nil {
		return err
	}
	return g.show(s, func() {
		g.printf("site %s as seen by %s at %s\nversion in force %s, newest %s by %s, rules %s\n",
			s.Site, s.VM, timeText(s.At), versionText(s.InForce),
			versionText(s.Spread.Newest.Version), s.Spread.Newest.Author, s.RulesHash)
		if len(s.Spread.Lagging) > 0 {
			g.printf("routers that lag: %s\n", join(s.Spread.Lagging, shownNames))
		}
		for _, m := range s.Emergencies {
			g.printf("emergency drain of %s in %s by %s until %s; publish it with zfctl drain\n", m.Name, m.Section, m.Author, timeText(m.Until))
		}
		g.dataCentres(s)
		g.routers(s)
		g.capacity(s)
		g.spreadOfSites(s.Spread)
	})
}

func (g *Globals) dataCentres(s *admin.Status) {
	var rows []table.Row
	for _, d := range s.DataCentres {
		rows = append(rows, table.Row{
			d.Name, d.Region, dash(string(d.Mark)), fmt.Sprintf("%d of %d", d.Alive, d.Routers),
			d.Targets, d.Slots, d.Running, d.Queued,
		})
	}
	g.table(table.Row{"Data centre", "Region", "Mark", "Routers alive", "Targets", "Slots", "Running", "Queued"}, rows)
}

func (g *Globals) routers(s *admin.Status) {
	var rows []table.Row
	for _, r := range s.Routers {
		mark := "-"
		if r.Drained {
			mark = string(fleet.MarkDrain)
		}
		rows = append(rows, table.Row{r.VM, r.DataCentre, r.Status, mark, versionText(r.InForce), dash(r.Problem)})
	}
	g.table(table.Row{"Router", "Data centre", "State", "Mark", "Version in force", "Problem"}, rows)
}

func (g *Globals) capacity(s *admin.Status) {
	var rows []table.Row
	for _, c := range s.Capacity {
		rows = append(rows, table.Row{
			c.Kind, c.Name, c.InService, c.Slots, percent(c.Share()), fmt.Sprintf("%d of %d", c.TargetsInService, c.Targets),
		})
	}
	g.table(table.Row{"Kind", "Name", "Slots in service", "Slots", "Of all", "Targets in service"}, rows)
}

func (g *Globals) spreadOfSites(s admin.Spread) {
	var rows []table.Row
	for _, site := range s.Sites {
		rows = append(rows, table.Row{
			site.Site, timeText(site.At), versionText(site.Version), site.Routers, dash(join(site.Lagging, shownNames)),
		})
	}
	g.table(table.Row{"Site", "Last summary", "Version in force", "Routers", "Lagging"}, rows)
}

type targetsCommand struct {
	State string `help:"Show only targets in this state." placeholder:"STATE"`
}

// Run prints the targets.
func (c *targetsCommand) Run(ctx context.Context, g *Globals) error {
	t, err := get[admin.Targets](ctx, g, admin.PathTargets, nil)
	if err != nil {
		return err
	}
	return g.show(t, func() {
		var rows []table.Row
		for _, v := range t.Targets {
			if c.State != "" && v.State != c.State {
				continue
			}
			serves := string(v.Service)
			if serves == "" {
				serves = join(v.Models, shownNames)
			}
			rows = append(rows, table.Row{
				v.Name, v.DataCentre, serves, v.State, dash(string(v.Mark)), dash(string(v.Owner)),
				v.Running, v.Queued, v.Slots, v.Capacity,
			})
		}
		g.table(table.Row{"Target", "Data centre", "Serves", "State", "Mark", "Owner", "Running", "Queued", "Slots", "Warm slots"}, rows)
	})
}

type accountsCommand struct{}

// Run prints the client accounts.
func (*accountsCommand) Run(ctx context.Context, g *Globals) error {
	a, err := get[admin.Accounts](ctx, g, admin.PathAccounts, nil)
	if err != nil {
		return err
	}
	return g.show(a, func() {
		g.printf("site %s, the last %v up to %s\n", a.Site, a.Window.Std(), timeText(a.At))
		var rows []table.Row
		for _, v := range a.Accounts {
			rows = append(rows, append(table.Row{v.Name, v.Member, v.Weight}, countsRow(v.Counts, v.Share)...))
		}
		g.table(append(table.Row{"Account", "Member", "Weight"}, countsHeader...), rows)
		g.members(a.Members)
	})
}

var countsHeader = table.Row{"Requests", "In time", "Refused", "Failed", "First byte", "Share of load"}

func countsRow(c usage.Counts, share float64) table.Row {
	return table.Row{c.Requests, service(c), c.Refused, c.Failed, firstByte(c), percent(share)}
}

func (g *Globals) members(all []usage.Entry) {
	var rows []table.Row
	for _, m := range all {
		rows = append(rows, append(table.Row{m.Member}, countsRow(m.Counts, m.Share)...))
	}
	g.table(append(table.Row{"Member"}, countsHeader...), rows)
}

type ordersCommand struct {
	List   ordersListCommand   `cmd:"" default:"withargs" help:"List orders, the newest first."`
	Settle ordersSettleCommand `cmd:"" help:"Record the outcome of an order that stayed unknown."`
}

type ordersListCommand struct {
	Unknown bool   `help:"Only orders whose outcome is unknown."`
	Account string `help:"Only orders of this client account." predictor:"account"`
	Limit   int    `help:"Number of orders." default:"50"`
}

// Run prints the orders.
func (c *ordersListCommand) Run(ctx context.Context, g *Globals) error {
	o, err := get[admin.Orders](ctx, g, admin.PathOrders,
		admin.OrdersQuery{Account: fleet.Account(c.Account), Unknown: c.Unknown, Limit: c.Limit})
	if err != nil {
		return err
	}
	return g.show(o, func() {
		var rows []table.Row
		for _, v := range o.Orders {
			run := string(v.Run)
			if v.Running {
				run += ", running"
			}
			rows = append(rows, table.Row{v.Key, v.Account, v.Service, run, dash(string(v.Target)), dash(string(v.Router)), timeText(v.At), dash(v.SettledBy)})
		}
		g.table(table.Row{"Key", "Account", "Service", "Outcome", "Target", "Router", "Since", "Settled by"}, rows)
	})
}

type ordersSettleCommand struct {
	Key     string `arg:"" help:"Idempotency key of the order."`
	Outcome string `arg:"" enum:"ran,not_run" help:"ran or not_run, as the target's records show."`
	Message string `short:"m" help:"How you know, for the audit stream." placeholder:"TEXT"`
}

// Run settles the order.
func (c *ordersSettleCommand) Run(ctx context.Context, g *Globals) error {
	out, err := post[admin.Settled](ctx, g, admin.PathSettle,
		admin.SettleRequest{Key: c.Key, Run: call.Run(c.Outcome), Comment: c.Message})
	if err != nil {
		return outcomeUnknown(err, false, "the order may have been settled; run the command again")
	}
	return g.show(out, func() { g.printf("order %s is settled as %s\n", out.Key, out.Run) })
}

type explainCommand struct {
	Request string `help:"ID of a request that failed (X-Request-Id)." placeholder:"ID"`
	Model   string `help:"Model of a chat." predictor:"model"`
	Service string `help:"Plain service of a call." predictor:"service"`
	Chat    string `help:"Chat that returns." placeholder:"ID"`
	Account string `help:"Client account." predictor:"account"`
}

// Run prints the ranking of targets.
func (c *explainCommand) Run(ctx context.Context, g *Globals) error {
	a, err := get[explain.Answer](ctx, g, admin.PathExplain, explain.Question{
		Request: call.ID(c.Request), Model: fleet.Model(c.Model), Service: fleet.Service(c.Service), Chat: c.Chat, Account: fleet.Account(c.Account),
	})
	if err != nil {
		return err
	}
	return g.show(a, func() {
		if f := a.Failure; f != nil {
			g.printf("request %s of account %s at %s: %s, run %s, at %s\n%s\n",
				f.Request, f.Account, timeText(f.At), f.Code, f.Run, dash(f.Peer), a.Reason)
			return
		}
		g.printf("target: %s\n%s\n", dash(string(a.Chosen)), a.Reason)
		var rows []table.Row
		for i, s := range a.Steps {
			rows = append(rows, table.Row{i + 1, s.Target, s.Owner, s.State, s.Admits, s.Reason})
		}
		g.table(table.Row{"#", "Target", "Owner", "State", "Admits", "Why"}, rows)
	})
}

type auditCommand struct {
	Limit int `help:"Number of entries." default:"30"`
}

// Run prints the audit entries.
func (c *auditCommand) Run(ctx context.Context, g *Globals) error {
	a, err := get[admin.Audit](ctx, g, admin.PathAudit, admin.AuditQuery{Limit: c.Limit})
	if err != nil {
		return err
	}
	return g.show(a, func() {
		var rows []table.Row
		for _, e := range a.Entries {
			rows = append(rows, table.Row{timeText(e.At), dash(e.Operator), e.Action, dash(e.Subject), e.Outcome, dash(e.Detail)})
		}
		g.table(table.Row{"At", "Operator", "Action", "Subject", "Outcome", "Detail"}, rows)
	})
}

type whoAmICommand struct{}

// Run prints the operator of the key.
func (*whoAmICommand) Run(ctx context.Context, g *Globals) error {
	w, err := get[admin.WhoAmI](ctx, g, admin.PathWhoAmI, nil)
	if err != nil {
		return err
	}
	return g.show(w, func() {
		g.printf("%s, %s of member %s, sites %s; answered by %s at site %s\n",
			w.Operator, w.Role, w.Member, dash(join(w.Sites, shownNames)), w.VM, w.Site)
	})
}
