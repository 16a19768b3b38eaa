package gateway

// recentIDs is a set of ids that keeps the ids added last: at least limit of them, and at most twice as
// many. The zero value with a limit is ready for use.
type recentIDs struct {
	limit    int
	current  map[string]bool // added since the set was last full
	previous map[string]bool // added before that; dropped when current is full
}

// add adds an id. An id that is in the set already is as recent as a new one afterwards.
func (r *recentIDs) add(id string) {
	if r.current == nil || len(r.current) >= r.limit {
		r.previous, r.current = r.current, map[string]bool{}
	}
	r.current[id] = true
}

// has returns whether an id is in the set.
func (r *recentIDs) has(id string) bool { return r.current[id] || r.previous[id] }
