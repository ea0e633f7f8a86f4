package capacity

// Point is one measured figure at one size.
type Point struct {
	Size  float64
	Value float64
}

// Line is a straight line through measured points.
type Line struct {
	Base  float64
	Slope float64
}

// Fit returns the line with the least squares of errors. A single point gives
// a line through the origin.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	spread := n*sumXX - sumX*sumX
	if spread == 0 {
		return Line{Slope: sumY / sumX}
	}
	slope := (n*sumXY - sumX*sumY) / spread
	return Line{Base: (sumY - slope*sumX) / n, Slope: slope}
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
