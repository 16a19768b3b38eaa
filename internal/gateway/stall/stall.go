// Package stall has the times by which a stall of the process (stopped, or without its CPU core) is
// detected, and for which its timers wait after it.
package stall

import "time"

const (
	// Threshold is how late a timer must fire, or how long data from discovery must have been unread,
	// for the process to count as stalled.
	Threshold = 100 * time.Millisecond
	// ReadTime is how long unread data is read after a stall before a timer is handled, as timers act
	// on the absence of data. It is also the interval of checks whether answers have been read.
	ReadTime = 20 * time.Millisecond
	// MaxReadTime is the upper limit on the wait for unread answers to be read.
	MaxReadTime = 250 * time.Millisecond
)
