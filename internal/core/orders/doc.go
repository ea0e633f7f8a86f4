// Package orders decides whether and when a call that may run at most once is
// dispatched to a target. The total order of the records in the platform's log
// decides, so that a retry at another router, a lost response of the log or a
// change of owner does not make an order run twice. A ticket is decided by the
// one process that may run it, also while the log is unavailable.
//
// Each order has a key that belongs to one partition, and each partition is
// one stream of the log. A router appends an intent for a key, reads the
// stream up to that intent and dispatches the order only when its intent is
// the first valid one for the key: the winning intent. Ledger is the state
// that follows from the records of a stream alone: every router that has read
// the same records has the same ledger. Machine is the state of one router for
// one partition. Its Step method takes one input and returns the actions that
// the router must carry out.
//
// The package does no I/O and reads no clock. docs/design/orders.md argues why
// it is safe.
package orders
