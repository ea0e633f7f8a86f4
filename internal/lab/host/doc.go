// Package host gives routers that share one process a machine each: an address
// of their own on the loopback network, a clock, and connections that can be
// delayed, cut, silenced, frozen or closed at once. The traffic is real TCP.
//
// A Fabric holds the hosts and the rules between them. A Host provides the
// kernel.Env of one process. Faults on the way between two hosts are applied
// at the end that dialed; faults of a host itself at both of its ends.
package host
