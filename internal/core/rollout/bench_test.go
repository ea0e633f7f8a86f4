package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/zinniafork/zinniafork/internal/fleet"
	"github.com/zinniafork/zinniafork/internal/wire"
)

// BenchmarkController takes reports of 390 routers that have seen five responses each, decoded and
// answered as on the wire. It reports the bytes of both.
func BenchmarkController(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	order := Order{Service: "plain", To: "v2", Duration: time.Hour, Offset: 7, Era: 1}
	c := Begin(now, DefaultLimits, Record{Order: order, Base: []string{"v1"}}, time.Hour, rng)
	record, _ := c.Next(now)
	c.Written(now, record)
	bytes := 0
	payloads := make([][]byte, 390)
	for i := range payloads {
		t := NewTracker()
		t.SetOrder(now, order, rng)
		t.Gate().Take(now, &Reply{Order: order, Term: 1, Seq: 1, ValidMs: 1000, Base: []string{"v1"}})
		for j := range 5 {
			s := t.Started(now, t.Rule(now, ""), "v1")
			t.Ended(now, s, &Outcome{Route: fmt.Sprintf("route-%d", j%3), Observed: true, Latency: time.Duration(20+rng.IntN(60)) * time.Millisecond})
		}
		r := t.Report(now, 5)
		r.Whole = false
		payloads[i], _ = wire.Marshal(&r)
	}
	b.ResetTimer()
	for i := range b.N {
		var r Report
		if err := wire.Unmarshal(payloads[i%390], &r); err != nil {
			b.Fatal(err)
		}
		reply := c.Report(now, fleet.VM(fmt.Sprint(i%390)), &r)
		data, _ := wire.Marshal(&reply)
		bytes += len(payloads[i%390]) + len(data)
		if i%100 == 0 {
			now = now.Add(250 * time.Millisecond)
			c.Tick(now, &View{New: 3, Old: 3})
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/report")
}
