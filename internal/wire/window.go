package wire

// replayWindow is the number of stream numbers, of one parity, that a Window
// remembers.
const replayWindow = 8192

// ReplayWindow tells new stream numbers from repeated ones. Numbers may arrive
// somewhat out of order.
type ReplayWindow struct {
	highest uint64
	seen    [replayWindow / 64]uint64
}

// Add reports whether n is new, and remembers it. A number far below the
// highest counts as repeated.
func (w *ReplayWindow) Add(n uint64) bool {
	n /= 2
	if n+replayWindow <= w.highest {
		return false
	}
	if n > w.highest {
		w.forget(n)
	}
	word, bit := n%replayWindow/64, uint64(1)<<(n%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// forget clears the numbers that fall out when highest rises to n.
func (w *ReplayWindow) forget(n uint64) {
	if n-w.highest >= replayWindow {
		w.seen = [replayWindow / 64]uint64{}
	} else {
		for i := w.highest + 1; i <= n; i++ {
			w.seen[i%replayWindow/64] &^= uint64(1) << (i % 64)
		}
	}
	w.highest = n
}
