// Package slotqueue places requests on the targets of plain services, which have few slots and
// work for tens of milliseconds.
//
// Picker chooses a target with what one router knows.
package slotqueue
