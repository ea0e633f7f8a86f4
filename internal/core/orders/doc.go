// Package orders decides how calls that may run at most once are run, on the
// total order of the platform's log.
//
// Each order has a key that belongs to one partition, and each partition is
// one stream of the log. A router writes an intent for a key, reads the stream
// up to that intent and runs the order only when its intent is the first valid
// one. Machine is the state of one router for one partition: Step takes one
// input and returns the actions that the router must carry out. Ledger is the
// meaning of the stream alone, and every router that has read the same records
// has the same ledger.
//
// The package does no I/O and reads no clock. docs/design/orders.md holds the
// argument for its safety.
package orders
