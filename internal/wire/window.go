package wire

// replayWindow is the number of stream numbers, all of one parity, that a
// ReplayWindow covers.
const replayWindow = 8192

// ReplayWindow detects stream numbers that were received before. Numbers may
// arrive out of order within the last replayWindow numbers of a parity. The zero
// value is ready for use.
type ReplayWindow struct {
	// highest is half of the highest number received.
	highest uint64
	// seen has a bit for each halved number in the window.
	seen [replayWindow / 64]uint64
}

// Add records n and reports whether it is new. A number below the window counts
// as received before.
func (w *ReplayWindow) Add(n uint64) bool {
	n /= 2
	if n+replayWindow <= w.highest {
		return false
	}
	if n > w.highest {
		w.advance(n)
	}
	word, bit := n%replayWindow/64, uint64(1)<<(n%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// advance raises highest to n and clears the bits of the numbers that enter the
// window.
func (w *ReplayWindow) advance(n uint64) {
	if n-w.highest >= replayWindow {
		w.seen = [replayWindow / 64]uint64{}
	} else {
		for i := w.highest + 1; i <= n; i++ {
			w.seen[i%replayWindow/64] &^= uint64(1) << (i % 64)
		}
	}
	w.highest = n
}
