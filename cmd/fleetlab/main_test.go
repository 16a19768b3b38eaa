package main

import (
	"strings"
	"testing"
)

// A soak that would run nothing is an error that names the flag, and starts nothing.
func TestSoakRejectsEmptyRuns(t *testing.T) {
	for _, flag := range []string{"seeds", "length", "gateways", "servers", "catalogs", "rate"} {
		for _, value := range []string{"0", "-1"} {
			if flag == "length" {
				value += "s"
			}
			cmd := soakCmd()
			cmd.SetArgs([]string{"--bin", t.TempDir(), "--" + flag, value})
			if err := cmd.Execute(); err == nil || !strings.Contains(err.Error(), "--"+flag+": ") {
				t.Errorf("--%s %s: got %v", flag, value, err)
			}
		}
	}
}
