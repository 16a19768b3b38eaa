package gateway

import "runtime"

// The goroutines of all connections share one core. One that always finds something to read or to do never
// waits, and then keeps the core for a time slice of the scheduler, 10 ms, each time that its turn comes. A
// request passes through several goroutines, so a few such connections would delay it by hundreds of
// milliseconds. Therefore a goroutine lets the others run after each piece of work on what was there already.

// yieldTurn lets the other goroutines that can run do so first.
func yieldTurn() { runtime.Gosched() }
