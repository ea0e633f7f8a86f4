package capacity

import (
	"fmt"
	"io"
)

// Print writes the rows as a Markdown table.
func Print(out io.Writer, rows []Row) error {
	lines := []string{
		"| Role | What | Measured | Slope | At the planned size | Limit | Fits | Mechanism |",
		"|---|---|---|---|---|---|---|---|",
	}
	for _, r := range rows {
		limit, fits := "", ""
		if r.Limit > 0 {
			limit, fits = show(r.Limit, r.Unit), "yes"
			if !r.Fits() {
				fits = "**no**"
			}
		}
		lines = append(lines, fmt.Sprintf("| %s | %s | %s | %s | %s | %s | %s | %s |",
			r.Role, r.Resource, r.Measured, r.Slope, show(r.Planned, r.Unit), limit, fits, r.Mechanism))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(out, line); err != nil {
			return fmt.Errorf("write table: %w", err)
		}
	}
	return nil
}

// show writes a figure with its unit.
func show(value float64, unit Unit) string {
	switch unit {
	case UnitBytes:
		return showBytes(value)
	case UnitBytesPerSec:
		return showBytes(value) + "/s"
	case UnitCores:
		return fmt.Sprintf("%.3g%% of a core", 100*value)
	case UnitPerSec:
		return fmt.Sprintf("%.3g/s", value)
	default:
		return fmt.Sprintf("%.3g %s", value, unit)
	}
}

// Sizes of bytes.
const (
	kilobyte = 1000
	megabyte = 1000 * kilobyte
)

func showBytes(value float64) string {
	switch {
	case value >= megabyte || value <= -megabyte:
		return fmt.Sprintf("%.3g MB", value/megabyte)
	case value >= kilobyte || value <= -kilobyte:
		return fmt.Sprintf("%.3g KB", value/kilobyte)
	default:
		return fmt.Sprintf("%.0f B", value)
	}
}
