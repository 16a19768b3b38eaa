package soak

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Exemption is a kind of cases that would be violations but for a circumstance that the rules allow. A report
// counts them, because an exemption that covers most cases leaves a check that detects nothing.
type Exemption string

const (
	exemptNotSent          Exemption = "requests whose last byte could not be written"
	exemptResent           Exemption = "requests that crossed the close of a resting connection and were sent again"
	exemptKilled           Exemption = "requests whose process was killed outright"
	exemptConnFlood        Exemption = "first requests on connections that were shut unread in a crowd"
	exemptBadClientAtExit  Exemption = "bad clients whose process ended"
	exemptDisrupted        Exemption = "sends to draining servers beyond the usual time, within that of an outage or a new process"
	exemptInjected         Exemption = "long answers cut off at a gateway whose system calls fail"
	exemptKilledWithin     Exemption = "long answers cut off by the SIGKILL of their gateway"
	exemptBroken           Exemption = "long answers that a host, a failing system call or a SIGKILL broke on their way"
	exemptLongAnswerAtKill Exemption = "processes that passed on a long answer until the SIGKILL"
	exemptLateStart        Exemption = "starts of servers that were notified too late to be judged"
)

// exempt counts a case that an exemption covers.
func (r *Report) exempt(exemption Exemption) {
	if r.Exemptions == nil {
		r.Exemptions = map[Exemption]int{}
	}
	r.Exemptions[exemption]++
}

// violationFunc adds a violation to the report. req is nil if the violation is not about one request.
type violationFunc func(req *request, rule Rule, format string, args ...any)

// Report is the result of a soak.
type Report struct {
	Seed       uint64
	Timeline   []string // the disruptions in planned order
	Counts     Counts
	Pauses     []string          // times at which the soak process itself was paused, so that what it recorded is late
	Exemptions map[Exemption]int // number of cases that would be violations without the exemption
	Violations []Violation
}

// Counts says how much a run exercised. Refused counts answers with status 429 or 503, Failed those
// with any other status than 200, Left abandoned requests, Runs the attempts that hosts received for
// requests of clients, BadClients their connections, Restarts the exits of gateway processes, and Troubles
// the disruptions.
type Counts struct {
	Requests, Served, Refused, Failed, Left int
	BadClients, Runs, Restarts, Troubles    int
	LongAnswers                             int // begun by hosts
}

// Violation is a broken rule.
type Violation struct {
	Rule  Rule
	Text  string
	Trace []string // lines about the request in every process; nil if the violation is not about one request
}

// Rule is what a violation broke.
type Rule string

// Rules.
const (
	RuleLost       Rule = "lost"      // one answer in time, and nothing is sent for a client that has gone
	RuleDuplicate  Rule = "duplicate" // executions as the class allows
	RuleRefusal    Rule = "refusal"   // no refusal of what may have been executed
	RuleDeadline   Rule = "deadline"  // hosts get no more time than is left
	RuleDrain      Rule = "drain"     // nothing goes to a host after notification that it drains
	RuleSlowStart  Rule = "failback"  // a starting host gets no more than its budget
	RuleBadClients Rule = "bad clients"
	RuleStart      Rule = "start" // processes become ready in time
	RuleEnd        Rule = "end"   // processes exit in time with code 0
	RuleCrash      Rule = "crash"
	RuleAudit      Rule = "audit" // the gateways' own counters stay at zero
)

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	c := r.Counts
	fmt.Fprintf(w, "seed %d: %d requests, %d served, %d refused, %d failed, %d left; %d bad clients, %d runs, %d long answers, %d restarts, %d troubles; %d violations\n",
		r.Seed, c.Requests, c.Served, c.Refused, c.Failed, c.Left, c.BadClients, c.Runs, c.LongAnswers, c.Restarts, c.Troubles, len(r.Violations))
	for _, text := range r.Pauses {
		fmt.Fprintln(w, "   disturbed:", text)
	}
	for _, exemption := range slices.Sorted(maps.Keys(r.Exemptions)) {
		fmt.Fprintf(w, "   excused: %d %s\n", r.Exemptions[exemption], exemption)
	}
	if len(r.Violations) == 0 {
		return
	}
	for _, line := range r.Timeline {
		fmt.Fprintln(w, "  ", line)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  BROKEN %s: %s\n", v.Rule, v.Text)
		for _, line := range v.Trace {
			fmt.Fprintln(w, "     ", line)
		}
	}
}
