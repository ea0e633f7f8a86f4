package config

import (
	"slices"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// Drained names one thing that is taken out beside the marks of a version.
type Drained struct {
	Section Markable
	Name    string
}

// WithDrains returns the configuration with more things taken out. The version
// stays the same, and e is not changed.
func (e *Effective) WithDrains(all []Drained) *Effective {
	if len(all) == 0 {
		return e
	}
	c := *e.Config
	c.DataCentres = slices.Clone(c.DataCentres)
	c.VMs = slices.Clone(c.VMs)
	c.Targets = slices.Clone(c.Targets)
	for _, d := range all {
		i := c.rowIndex(d.Section, d.Name)
		switch {
		case d.Section == MarkVM && i < 0:
			c.VMs = append(c.VMs, VM{Name: fleet.VM(d.Name), Mark: fleet.MarkDrain})
		case i < 0:
		case d.Section == MarkDataCentre:
			c.DataCentres[i].Mark = fleet.MarkDrain
		case d.Section == MarkVM:
			c.VMs[i].Mark = fleet.MarkDrain
		case d.Section == MarkTarget:
			c.Targets[i].Mark = fleet.MarkDrain
		}
	}
	return &Effective{Config: &c, Offset: e.Offset, Hash: e.Hash}
}
