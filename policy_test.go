package bramblelock

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// The policy files are read by operators during an incident, so each has one kind of decision and
// is short.
func TestPolicyStaysReadable(t *testing.T) {
	const maxLines = 200
	for name, text := range policyFiles(t) {
		lines := 0
		for _, l := range strings.Split(text, "\n") {
			if len(strings.TrimSpace(l)) > 0 {
				lines++
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, want at most %d", name, lines, maxLines)
		}
	}
	text := policy(t)
	for i, l := range strings.Split(text, "\n") {
		if n := len([]rune(strings.ReplaceAll(l, "\t", "    "))); n > 110 {
			t.Errorf("line %d of the policy has %d characters, want at most 110: %s", i+1, n, l)
		}
	}
	if !strings.Contains(text[:600], "api.go") {
		t.Error("the first comment of balancer.go does not name api.go")
	}
}

// Operators look log lines up in the on-call page, so it must have each line as it is printed.
func TestLogLinesAreInTheOnCallPage(t *testing.T) {
	code := policy(t)
	page, err := os.ReadFile("docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, m := range regexp.MustCompile(`b\.log\(log\w+, "([^"]*)"`).FindAllStringSubmatch(code, -1) {
		lines = append(lines, strings.TrimSuffix(m[1], "%s"))
	}
	for _, m := range regexp.MustCompile(`b\.eject\(h, "([^"]*)"`).FindAllStringSubmatch(code, -1) {
		lines = append(lines, "ejected: "+m[1])
	}
	if len(lines) < logKinds+1 {
		t.Fatalf("found only %d log lines in the policy: %q", len(lines), lines)
	}
	for _, l := range lines {
		l = strings.NewReplacer("%d of %d", "N of M", "%d", "N", "%x", "X").Replace(l)
		if !strings.Contains(string(page), l) {
			t.Errorf("docs/on-call.md lacks %q", l)
		}
	}
}

// policy returns the text of all files that the deploy file names as policy, that of the ordinary
// path first.
func policy(t *testing.T) string {
	files := policyFiles(t)
	text := files["balancer.go"]
	for _, name := range slices.Sorted(maps.Keys(files)) {
		if name != "balancer.go" {
			text += files[name]
		}
	}
	return text
}

// policyFiles returns the texts of the files that the deploy file names as policy, by name.
func policyFiles(t *testing.T) map[string]string {
	files := map[string]string{}
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	for _, name := range regexp.MustCompile(`"([^"]+)"`).FindAllSubmatch(list[1], -1) {
		text, err := os.ReadFile(string(name[1]))
		if err != nil {
			t.Fatal(err)
		}
		files[string(name[1])] = string(text)
	}
	return files
}
