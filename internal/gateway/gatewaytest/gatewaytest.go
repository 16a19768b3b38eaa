// Package gatewaytest has what the tests of the gateway's packages share.
package gatewaytest

import (
	"testing"
	"time"
)

// WaitTimeout limits how long a test waits for what must happen. It is long, as the machine may be
// busy.
const WaitTimeout = 20 * time.Second

// PollInterval is the time between two checks of a condition that a test waits for.
const PollInterval = 2 * time.Millisecond

// Until waits until ok returns true. It fails the test after WaitTimeout, with what was waited for.
func Until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !ok(); time.Sleep(PollInterval) {
		if time.Now().After(end) {
			t.Fatalf("gave up waiting: %s", what)
		}
	}
}
