package loadtable

import "math"

const (
	// workUnitMS and workSteps define the scale of a byte of work: 1 + workSteps x
	// log2(1 + work/workUnitMS). A step is 4.4%, and 255 stands for two minutes.
	workUnitMS = 2.0
	workSteps  = 16.0
)

// packMS returns the byte for an amount of work, zero for an unknown one.
func packMS(ms float32) byte {
	if !(ms > 0) {
		return 0
	}
	return byte(min(1+math.Round(workSteps*math.Log2(1+float64(ms)/workUnitMS)), math.MaxUint8))
}

// workMS holds the amounts of work by their bytes. The least one is above zero, which means
// unknown.
var workMS = func() (out [256]float32) {
	for i := 1; i < len(out); i++ {
		out[i] = float32(max(workUnitMS*(math.Exp2(float64(i-1)/workSteps)-1), workUnitMS/100))
	}
	return out
}()

// unpackMS returns the amount of work that a byte stands for.
func unpackMS(b byte) float32 { return workMS[b] }
