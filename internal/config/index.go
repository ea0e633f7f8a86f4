package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/zinniafork/zinniafork/internal/fleet"
)

// index holds the lookups of a configuration in force.
type index struct {
	accounts     map[fleet.Account]*Account
	accountKeys  keyRing[Account]
	operatorKeys keyRing[Operator]
	targets      map[fleet.Target]*Target
	byModel      map[fleet.Model][]*Target
	byService    map[fleet.Service][]*Target
	services     map[fleet.Service]*Service
	models       map[fleet.Model]*Model
	members      map[fleet.Member]*Member
	centres      map[fleet.DataCentre]*DataCentre
	vms          map[fleet.VM]*VM
}

// keyRing finds the holder of a key by the hash of the key. The hash is looked
// up by its first bytes and compared in constant time.
type keyRing[T any] map[uint32][]ringEntry[T]

type ringEntry[T any] struct {
	hash   [sha256.Size]byte
	holder *T
}

func (r keyRing[T]) add(hashes []string, holder *T) {
	for _, text := range hashes {
		var e ringEntry[T]
		if n, err := hex.Decode(e.hash[:], []byte(text)); err != nil || n != sha256.Size {
			continue
		}
		e.holder = holder
		r[bucket(e.hash)] = append(r[bucket(e.hash)], e)
	}
}

func bucket(hash [sha256.Size]byte) uint32 {
	return uint32(hash[0])<<16 | uint32(hash[1])<<8 | uint32(hash[2])
}

func (r keyRing[T]) find(key string) *T {
	sum := sha256.Sum256([]byte(key))
	entries := r[bucket(sum)]
	if len(entries) == 0 {
		// The same work for a key that nobody has.
		entries = []ringEntry[T]{{}}
	}
	var found *T
	for i := range entries {
		if subtle.ConstantTimeCompare(entries[i].hash[:], sum[:]) == 1 {
			found = entries[i].holder
		}
	}
	return found
}

func (e *Effective) lookup() *index {
	e.once.Do(func() { e.index = newIndex(e.Config) })
	return e.index
}

func newIndex(c *Config) *index {
	x := &index{
		accountKeys:  make(keyRing[Account]),
		operatorKeys: make(keyRing[Operator]),
		accounts:     byName(c.Accounts, func(a *Account) fleet.Account { return a.Name }),
		targets:      byName(c.Targets, func(t *Target) fleet.Target { return t.Name }),
		services:     byName(c.Services, func(s *Service) fleet.Service { return s.Name }),
		models:       byName(c.Models, func(m *Model) fleet.Model { return m.Name }),
		members:      byName(c.Members, func(m *Member) fleet.Member { return m.Name }),
		centres:      byName(c.DataCentres, func(d *DataCentre) fleet.DataCentre { return d.Name }),
		vms:          byName(c.VMs, func(v *VM) fleet.VM { return v.Name }),
		byModel:      make(map[fleet.Model][]*Target),
		byService:    make(map[fleet.Service][]*Target),
	}
	for i := range c.Accounts {
		x.accountKeys.add(c.Accounts[i].KeyHashes, &c.Accounts[i])
	}
	for i := range c.Operators {
		x.operatorKeys.add(c.Operators[i].KeyHashes, &c.Operators[i])
	}
	for i := range c.Targets {
		t := &c.Targets[i]
		for _, m := range t.Models {
			x.byModel[m] = append(x.byModel[m], t)
		}
		if t.Service != "" {
			x.byService[t.Service] = append(x.byService[t.Service], t)
		}
	}
	return x
}

func byName[T any, N comparable](rows []T, name func(*T) N) map[N]*T {
	out := make(map[N]*T, len(rows))
	for i := range rows {
		out[name(&rows[i])] = &rows[i]
	}
	return out
}

// AccountByKey returns the client account that holds the key, or nil.
func (e *Effective) AccountByKey(key string) *Account { return e.lookup().accountKeys.find(key) }

// OperatorByKey returns the operator who holds the key, or nil.
func (e *Effective) OperatorByKey(key string) *Operator { return e.lookup().operatorKeys.find(key) }

// Account returns the client account of that name, or nil.
func (e *Effective) Account(name fleet.Account) *Account { return e.lookup().accounts[name] }

// Target returns the target of that name, or nil.
func (e *Effective) Target(name fleet.Target) *Target { return e.lookup().targets[name] }

// TargetsOfModel returns the engines that serve a model, in configured order.
func (e *Effective) TargetsOfModel(m fleet.Model) []*Target { return e.lookup().byModel[m] }

// TargetsOfService returns the workers of a plain service, in configured order.
func (e *Effective) TargetsOfService(s fleet.Service) []*Target { return e.lookup().byService[s] }

// Service returns the plain service of that name, or nil.
func (e *Effective) Service(name fleet.Service) *Service { return e.lookup().services[name] }

// Model returns the model of that name, or nil.
func (e *Effective) Model(name fleet.Model) *Model { return e.lookup().models[name] }

// Member returns the member of that name, or nil.
func (e *Effective) Member(name fleet.Member) *Member { return e.lookup().members[name] }

// DataCentre returns the data centre of that name, or nil.
func (e *Effective) DataCentre(name fleet.DataCentre) *DataCentre { return e.lookup().centres[name] }

// VMDrained reports whether an operator takes the VM, or its data centre, out.
func (e *Effective) VMDrained(vm fleet.VM, dc fleet.DataCentre) bool {
	v := e.lookup().vms[vm]
	return v != nil && v.Mark == fleet.MarkDrain || e.centreDrained(dc)
}

// TargetDrained reports whether an operator takes the target, or its data
// centre, out.
func (e *Effective) TargetDrained(t *Target) bool {
	return t.Mark == fleet.MarkDrain || e.centreDrained(t.DataCentre)
}

func (e *Effective) centreDrained(dc fleet.DataCentre) bool {
	d := e.lookup().centres[dc]
	return d != nil && d.Mark == fleet.MarkDrain
}
