package scenario

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/check"
	"github.com/zinniafork/zinniafork/internal/lab/check/answers"
	"github.com/zinniafork/zinniafork/internal/lab/check/config"
	"github.com/zinniafork/zinniafork/internal/lab/check/control"
	"github.com/zinniafork/zinniafork/internal/lab/check/drain"
	"github.com/zinniafork/zinniafork/internal/lab/check/load"
	"github.com/zinniafork/zinniafork/internal/lab/check/orders"
	"github.com/zinniafork/zinniafork/internal/lab/check/overhead"
	"github.com/zinniafork/zinniafork/internal/lab/check/reuse"
	"github.com/zinniafork/zinniafork/internal/lab/check/service"
	"github.com/zinniafork/zinniafork/internal/lab/check/streams"
	"github.com/zinniafork/zinniafork/internal/lab/history"
)

// Targets that the checks hold a run against.
const (
	// Bound is the largest load of an engine as a multiple of the mean.
	Bound = 1.25
	// ControlBudget is the control traffic of one router, in bytes a second.
	ControlBudget = 3000
)

// Measures are the figures of one run.
type Measures struct {
	CacheReuse             float64 `json:"cache_reuse"`
	CacheReuseOracle       float64 `json:"cache_reuse_oracle"`
	CacheReuseUnlimited    float64 `json:"cache_reuse_unlimited"`
	LoadSkewMax            float64 `json:"load_skew_max"`
	LoadSkewP99            float64 `json:"load_skew_p99"`
	Bound                  float64 `json:"bound"`
	OverBound              int     `json:"over_bound"`
	ColdOverload           int     `json:"cold_overload"`
	Overload               int     `json:"overload"`
	ControlBytesPerSMax    float64 `json:"control_bytes_per_s_max"`
	Service                float64 `json:"service"`
	ServiceMinAccount      float64 `json:"service_min_account"`
	Requests               int     `json:"requests"`
	OrdersDuplicated       int     `json:"orders_duplicated"`
	OrdersLost             int     `json:"orders_lost"`
	OrdersUnknown          int     `json:"orders_unknown"`
	FalseNotRun            int     `json:"false_not_run"`
	AnswersWrong           int     `json:"answers_wrong"`
	NewWorkAfterDrainMS    float64 `json:"new_work_after_drain_ms"`
	ConfigConvergeMSMax    float64 `json:"config_converge_ms_max"`
	FirstTokenMSP95        float64 `json:"first_token_ms_p95"`
	FirstTokenOverheadMS50 float64 `json:"first_token_overhead_ms_p50"`
	FirstTokenOverheadMS99 float64 `json:"first_token_overhead_ms_p99"`
	StreamsCut             int     `json:"streams_cut"`
}

// Result is the outcome of one run, in the form that programs read.
type Result struct {
	Scenario   string   `json:"scenario"`
	Site       string   `json:"site"`
	Seed       uint64   `json:"seed"`
	Policy     string   `json:"policy"`
	Pass       bool     `json:"pass"`
	Measures   Measures `json:"measures"`
	Violations []string `json:"violations"`
}

// judge runs all checkers on a history.
func judge(s Scenario, h *history.History, limits service.Limits, cacheTokens int) (Measures, []check.Violation) {
	var all []check.Violation
	m := Measures{Bound: Bound, Requests: len(h.Requests)}
	collect := func(v []check.Violation) { all = append(all, v...) }

	o, v := orders.Check(h)
	collect(v)
	m.OrdersDuplicated, m.OrdersLost, m.OrdersUnknown, m.FalseNotRun = o.Duplicated, o.Lost, o.Unknown, o.FalseNotRun

	m.AnswersWrong, v = answers.Check(h)
	collect(v)

	l, v := load.Check(h, Bound)
	collect(v)
	m.LoadSkewMax, m.LoadSkewP99, m.OverBound = l.SkewMax, l.SkewP99, l.OverBound
	m.ColdOverload, m.Overload = l.ColdOverload, l.Overload

	after, v := drain.Check(h)
	collect(v)
	m.NewWorkAfterDrainMS = millis(after)

	converge, v := config.Check(h)
	collect(v)
	m.ConfigConvergeMSMax = millis(converge)

	m.StreamsCut, v = streams.Check(h)
	collect(v)

	m.ControlBytesPerSMax, v = control.Check(h, ControlBudget)
	collect(v)

	limits.Overall, limits.AccountGap = s.Service, s.AccountGap
	sv, v := service.Check(h, limits)
	collect(v)
	m.Service, m.ServiceMinAccount = sv.Service, sv.MinAccount

	m.CacheReuse = reuse.Measure(h)
	m.CacheReuseOracle = reuse.Oracle(h, cacheTokens, Bound)
	m.CacheReuseUnlimited = reuse.Unlimited(h, cacheTokens*len(h.Engines))
	over := overhead.Measure(h)
	m.FirstTokenOverheadMS50, m.FirstTokenOverheadMS99 = millis(over.P50), millis(over.P99)
	m.FirstTokenMSP95 = millis(overhead.FirstToken(h, 95))
	return m, all
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
