package catalogfleet

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"bramblelock/internal/catalog"
)

// FetchStatus fetches the status of the instance at the HTTP address addr, within 1 s.
func FetchStatus(addr string) (catalog.Status, error) {
	var status catalog.Status
	statusClient := http.Client{Timeout: time.Second}
	resp, err := statusClient.Get("http://" + addr + "/catalog/status")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	return status, json.NewDecoder(resp.Body).Decode(&status)
}

var httpClient = &http.Client{Timeout: 10 * time.Second}

// PutMember writes one entry through the instance at addr, with a body in the form of catalog.Patch.
// It returns the HTTP status code, or 0 if there was no answer within 10 s.
func PutMember(addr, id, body string) int {
	req, _ := http.NewRequest("PUT", "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode
}

// FetchList fetches the list of the instance at addr. The returned HTTP status code is 0 if there was
// no answer within 10 s; the list is empty unless it is 200.
func FetchList(addr string) (catalog.List, int) {
	var l catalog.List
	resp, err := httpClient.Get("http://" + addr + "/catalog/members")
	if err != nil {
		return l, 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == 200 {
		json.NewDecoder(resp.Body).Decode(&l)
	}
	return l, resp.StatusCode
}

// CommitMember writes one entry through the instance at addr, with a body in the form of
// catalog.Patch. It returns the version at which the entry was committed and whether the commit was
// confirmed. An unconfirmed write may still commit.
func CommitMember(addr, id, body string) (uint64, bool) {
	req, _ := http.NewRequest("PUT", "http://"+addr+"/catalog/members/"+id, strings.NewReader(body))
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	var v struct{ Version uint64 }
	b, _ := io.ReadAll(resp.Body)
	return v.Version, resp.StatusCode == 200 && json.Unmarshal(b, &v) == nil && v.Version > 0
}
