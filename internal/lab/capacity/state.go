package capacity

import (
	"fmt"
	"time"

	"github.com/zinniafork/zinniafork/internal/core/admission"
	"github.com/zinniafork/zinniafork/internal/core/digest"
	"github.com/zinniafork/zinniafork/internal/core/fairness"
	"github.com/zinniafork/zinniafork/internal/core/health"
	"github.com/zinniafork/zinniafork/internal/core/membership"
	"github.com/zinniafork/zinniafork/internal/core/orders"
	"github.com/zinniafork/zinniafork/internal/core/ownership"
	"github.com/zinniafork/zinniafork/internal/fleet"
)

// memberBytes measures the memory of a view of a site by its routers.
func memberBytes(sizes ...int) []Point {
	return growth(sizes, func(n int) any {
		now := time.Now()
		vms := make([]fleet.VMInfo, 0, n)
		for i := range n {
			vms = append(vms, vmRow(i))
		}
		v := membership.New(vms[0], 1, membership.DefaultParams(time.Second), now)
		v.ApplyList(now, vms)
		return v
	})
}

func vmRow(i int) fleet.VMInfo {
	host := fmt.Sprintf("10.%d.%d.%d", i%PlannedDataCentres, i/200, i%200)
	return fleet.VMInfo{
		VM:         fleet.VM(fmt.Sprintf("vm-%d", i)),
		DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%PlannedDataCentres)),
		Site:       "planned",
		State:      fleet.VMLive,
		PeerAddr:   host + ":7001",
		CallerAddr: host + ":7002",
		AdminAddr:  host + ":7003",
	}
}

// digestBytes measures the memory of the digests of targets by their number.
func digestBytes(sizes ...int) []Point {
	return growth(sizes, func(n int) any {
		t := digest.NewTable("self")
		for i := range n {
			t.Merge(time.Now(), "peer", []digest.Digest{targetDigest(i, 1)})
		}
		return t
	})
}

func targetDigest(i int, seq uint8) digest.Digest {
	return digest.Digest{
		Resource: digest.KeyOf(fmt.Sprintf("target/engine-%d", i)),
		Term:     1,
		Seq:      seq,
		State:    digest.StateOf(health.Warm),
		Slots:    16,
		Load:     7,
	}
}

// digestTimes measures the time to merge the digests of all targets, in
// seconds, by their number.
func digestTimes(sizes ...int) []Point {
	var out []Point
	for _, n := range sizes {
		t := digest.NewTable("self")
		seq := uint8(0)
		took := timeOf(func() {
			seq++
			for i := range n {
				t.Merge(time.Now(), "peer", []digest.Digest{targetDigest(i, seq)})
			}
		})
		out = append(out, Point{Size: float64(n), Value: took})
	}
	return out
}

// admissionTime measures one request's way through admission, in seconds.
func admissionTime() float64 {
	now := time.Now()
	target := admission.NewTarget(admission.Config{
		Limits:      health.Limits{Capacity: 16, ColdSlots: 2},
		Bound:       1.25,
		QueueLength: 64,
		Weights:     evenWeights{},
	}, now)
	target.Acquire(now, ownership.Residual{Known: true})
	id := uint64(0)
	return timeOf(func() {
		id++
		now = now.Add(time.Millisecond)
		target.Admit(now, fairness.Item{ID: id, StartBy: now.Add(time.Second)}, true)
		target.ConfirmStart(now, id)
		target.Finish(now, id, true)
	})
}

// evenWeights give everyone the same share.
type evenWeights struct{}

func (evenWeights) MemberWeight(fleet.Member) float64                 { return 1 }
func (evenWeights) AccountWeight(fleet.Member, fleet.Account) float64 { return 1 }

// orderBytes measures the memory of recorded orders by their number.
func orderBytes(sizes ...int) ([]Point, error) {
	var failed error
	points := growth(sizes, func(n int) any {
		l := orders.NewLedger()
		if err := fill(l, n); err != nil {
			failed = err
		}
		return l
	})
	return points, failed
}

// fill applies the records of n orders that ran.
func fill(l *orders.Ledger, n int) error {
	now := time.Now()
	for i := range n {
		key := orders.NewKey(now, [10]byte{4: byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)})
		parsed, err := orders.ParseKey(string(key))
		if err != nil {
			return err
		}
		nonce := orders.Nonce{Process: 1, Seq: uint64(i)}
		intent := orders.Record{
			Kind:     orders.KindIntent,
			Key:      parsed.Key,
			Identity: orders.Identity{Account: "account-17", Service: "print"},
			Nonce:    nonce,
			Router:   "vm-123",
		}
		done := orders.Record{
			Kind:    orders.KindDone,
			Key:     parsed.Key,
			Nonce:   nonce,
			Outcome: &orders.Outcome{Run: orders.RunDone, Status: 200, Target: "print-3"},
		}
		for _, r := range []orders.Record{intent, done} {
			l.Apply(&orders.LoggedRecord{Offset: l.Next(), Time: now, Record: r})
		}
	}
	return nil
}

// growth measures the memory of what build returns, by its size.
func growth(sizes []int, build func(n int) any) []Point {
	var out []Point
	for _, n := range sizes {
		out = append(out, Point{Size: float64(n), Value: bytesOf(func() any { return build(n) })})
	}
	return out
}
