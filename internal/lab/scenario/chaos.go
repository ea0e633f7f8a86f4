package scenario

import (
	"time"

	"github.com/zinniafork/zinniafork/internal/lab/fault"
	"github.com/zinniafork/zinniafork/internal/lab/host"
)

const (
	chaosLeast = 3
	chaosMost  = 7
	// chaosShortest and chaosLongest bound the length of one fault.
	chaosShortest = 2 * time.Second
	chaosLongest  = 7 * time.Second
)

// chaos draws faults of all kinds at random times; some kinds come twice.
func chaos(p *fault.Plan) {
	kinds := []func(from, to time.Duration){
		p.DrainDataCentre,
		p.DrainTarget,
		func(from, _ time.Duration) { p.RestartRouter(from) },
		func(from, _ time.Duration) { p.RaceConfig(from, racers) },
		func(from, to time.Duration) { p.Surge(from, to, 1, surgeFactor) },
		func(from, to time.Duration) { p.KillRouter(from, to, false) },
		func(from, to time.Duration) { p.KillRouter(from, to, true) },
		func(from, to time.Duration) { p.FreezeRouter(from, to, false) },
		func(from, to time.Duration) { p.FreezeRouter(from, to, true) },
		p.SplitList,
		func(from, to time.Duration) { p.CutDataCentres(from, to, host.Refuse) },
		func(from, to time.Duration) { p.CutDataCentres(from, to, host.Lose) },
		func(from, _ time.Duration) { p.Silence(from, p.Rand.Int()) },
		func(from, to time.Duration) { p.LogDown(from, to, host.Refuse) },
		func(from, to time.Duration) { p.LogDown(from, to, host.Lose) },
		func(from, to time.Duration) { p.LogSlow(from, to, slowLog) },
		func(from, to time.Duration) { p.LogLosesAnswers(from, to, lostAnswers) },
		p.RestartEngine,
		p.CutWorker,
		func(from, _ time.Duration) { p.FlapEngine(from, flaps, flapPeriod) },
		func(from, _ time.Duration) { p.TurnCold(from) },
	}
	n := chaosLeast + p.Rand.IntN(chaosMost-chaosLeast+1)
	for range n {
		from := time.Duration(p.Rand.Float64() * 0.8 * float64(p.Duration))
		length := chaosShortest + time.Duration(p.Rand.Float64()*float64(chaosLongest-chaosShortest))
		kinds[p.Rand.IntN(len(kinds))](from, min(from+length, p.Duration*95/100))
	}
}
