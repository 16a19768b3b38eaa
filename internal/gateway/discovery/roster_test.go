package discovery

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
)

type receivedList struct {
	kind bramblelock.ListKind
	list hostlist.List
}

type receivedLists []receivedList

func (t *receivedLists) HandleList(kind bramblelock.ListKind, list hostlist.List) {
	*t = append(*t, receivedList{kind, list})
}

func listOf(version uint64, ids ...string) []byte {
	l := hostlist.List{Version: version, Full: true}
	for _, id := range ids {
		l.Servers = append(l.Servers, hostlist.Member{ID: id, Addr: "127.0.0.1:9000", State: "ready"})
	}
	text, _ := json.Marshal(l)
	return text
}

// A gateway without a list uses one from a peer, and a newer one from another peer, until discovery
// sends one. After that, or if it had a list from its start, lists from peers have no effect. An
// invalid list is refused with the reason.
func TestPeerListIsUsedUntilDiscoveryAnswers(t *testing.T) {
	var loop receivedLists
	r := NewRoster(hostlist.List{}, &loop)
	for _, bad := range []struct {
		text []byte
		want string
	}{
		{[]byte("{"), "unexpected end"}, {listOf(3), "0 hosts"}, {listOf(3, ""), "no id"},
		{[]byte(`{"version":3,"servers":[{"id":"a","addr":"here"}]}`), "host:port"},
		{[]byte(`{"version":3,"servers":[` + strings.Repeat(`{},`, maxPeerListHosts) + `{}]}`), "not 1 to"},
	} {
		if err := r.Take(bad.text); err == nil || !strings.Contains(err.Error(), bad.want) {
			t.Errorf("%.40s: %v, want %q", bad.text, err, bad.want)
		}
	}
	if len(loop) != 0 || !r.Empty() || r.Offer() != nil {
		t.Fatal("an invalid list was passed on or offered")
	}
	for _, offer := range [][]byte{listOf(7, "a", "b"), listOf(6, "old"), listOf(8, "a", "c")} {
		if err := r.Take(offer); err != nil {
			t.Fatal(err)
		}
	}
	if r.Take(listOf(8+maxVersionLead+1, "x")) != errVersionTooHigh {
		t.Error("a version far ahead of the peer's list is accepted")
	}
	r.HandleList(bramblelock.ListFull, hostlist.List{Version: 5, Servers: []hostlist.Member{{ID: "d", Addr: "127.0.0.1:1", State: "ready"}}})
	r.HandleList(bramblelock.ListChanges, hostlist.List{Version: 6, Servers: []hostlist.Member{{ID: "e", Addr: "127.0.0.1:2", State: "ready"}, {ID: "d", State: "gone"}}})
	if err := r.Take(listOf(9, "a")); err != nil {
		t.Fatal(err)
	}
	if err := r.Take(listOf(1<<40, "a")); err != errVersionTooHigh {
		t.Errorf("a version far ahead of discovery's: %v", err)
	}
	var kinds []string
	for _, x := range loop {
		kinds = append(kinds, fmt.Sprint(x.kind, x.list.Version))
	}
	want := fmt.Sprint([]string{fmt.Sprint(bramblelock.ListSaved, 7), fmt.Sprint(bramblelock.ListSaved, 8), fmt.Sprint(bramblelock.ListFull, 5), fmt.Sprint(bramblelock.ListChanges, 6)})
	if fmt.Sprint(kinds) != want {
		t.Errorf("the loop received %v, want %v", kinds, want)
	}
	var offered hostlist.List
	if err := json.Unmarshal(r.Offer(), &offered); err != nil || len(offered.Servers) != 1 || offered.Servers[0].ID != "e" || offered.Version != 6 {
		t.Errorf("offers %+v, %v", offered, err)
	}
}
