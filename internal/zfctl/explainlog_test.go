package zfctl

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const routerLog = `vm1 {"time":"2026-01-01T10:00:00Z","msg":"site: Target changed.","target":"t9","gone":true}
vm1 {"time":"2026-01-01T10:00:07Z","msg":"site: Target changed.","target":"t1","leaving":true}
vm2 {"time":"2026-01-01T10:00:07Z","msg":"site: Target changed.","target":"t1","leaving":true}
vm1 {"time":"2026-01-01T10:00:08Z","msg":"forward: Request ended.","target":"t1","request":"other"}
not a line of ours
vm1 {"time":"2026-01-01T10:00:09Z","msg":"forward: Send ended without an answer.","target":"t1","request":"r1"}
vm1 {"time":"2026-01-01T10:00:09Z","msg":"forward: Request ended.","target":"t2","request":"r1"}
vm1 {"time":"2026-01-01T10:00:40Z","msg":"forward: Target is out after failures.","target":"t2"}
`

func TestExplainLogFindsRequestAndTargets(t *testing.T) {
	lines, err := parseLog(strings.NewReader(routerLog))
	must.NoError(t, err)
	var out strings.Builder
	c := &explainLogCommand{Request: "r1", Around: 5 * time.Second}
	must.NoError(t, c.print(&out, lines))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	must.Len(t, 3, got)
	must.StrHasPrefix(t, "vm1", got[0])
	must.StrContains(t, got[0], `"leaving":true`)
	must.StrHasSuffix(t, "(and 1 more times)", got[0])
	must.StrContains(t, got[1], "Send ended")
	must.StrContains(t, got[2], "Request ended")
	c.Request = "r2"
	must.ErrorIs(t, c.print(&out, lines), errNoRequest)
}
