// Package owner decides which packets belong to the flows of one side process,
// which new flows it takes and where the others go.
package owner

// Reason says why a packet was refused, handed on or dropped; each has a counter.
type Reason uint8
