// Package fleet holds the identifiers that all parts of the system share.
package fleet

import "github.com/cespare/xxhash/v2"

// VM names one virtual machine that runs a router.
type VM string

// DataCentre names one data centre of a site.
type DataCentre string

// Site names one member's installation: its data centres, VMs and targets.
type Site string

// Member names one member of the consortium.
type Member string

// Account names one client account of a member.
type Account string

// Target names one model engine or one worker of a plain service.
type Target string

// Ref is a short name of a target on the wire between routers.
type Ref uint32

// Ref returns the short name of the target.
func (t Target) Ref() Ref { return Ref(xxhash.Sum64String(string(t))) }

// Model names a model that engines serve.
type Model string

// Service names a plain service.
type Service string

// Incarnation tells apart the successive processes under one VM name. It
// rises with every start.
type Incarnation uint64

// VMState is the state of a VM in the VM list.
type VMState string

// States of a VM in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMInfo is one row of the VM list. Addresses are host:port.
type VMInfo struct {
	VM         VM         `json:"vm" msgpack:"v"`
	DataCentre DataCentre `json:"data_centre" msgpack:"d"`
	Site       Site       `json:"site" msgpack:"s"`
	State      VMState    `json:"state" msgpack:"t"`
	PeerAddr   string     `json:"peer_addr" msgpack:"p"`
	CallerAddr string     `json:"caller_addr" msgpack:"c"`
	AdminAddr  string     `json:"admin_addr" msgpack:"a"`
	// Weight is the strength of the VM, in cores; zero when it is not told.
	Weight float64 `json:"weight,omitempty" msgpack:"w,omitempty"`
}

// Mark is an operator's mark on a data centre, VM or target.
type Mark string

// Marks. A thing without a mark is in service.
const (
	MarkNone  Mark = ""
	MarkDrain Mark = "drain"
)
