// Package config reads the configuration of a gateway from its file and from environment variables, and
// checks it.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"bramblelock"
	"bramblelock/internal/gateway/hostlist"
	"bramblelock/internal/wire"
)

// Config is the configuration of a gateway.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address of discovery, or several separated by commas
	Operator  string // address for operators; empty if there is none
	AcceptFD  int    // descriptor of a shared listening socket for clients; 0 if this process listens at Listen itself
	Seed      uint64

	Cores    float64 // limit on CPU cores; 0 if there is none
	MemoryMB int     // limit on memory in MiB; 0 if there is none
	Sockets  int     // limit on the file descriptors of the process, not of sockets alone

	Known hostlist.List // list of hosts that this gateway had last, as the file states it; used from the start until another list replaces it

	// Membership among gateways is off while Bind is empty.
	Membership Membership
	Rules
	rawSettings json.RawMessage // settings object of the file, with which Reload compares that of the new file

	// The index that the decision module uses for each name in lists of hosts. The loop adds names that are not
	// in the settings.
	Zones map[string]int
	Kinds map[string]int

	ConnIdle    time.Duration // idle time after which a host closes a connection
	DialTimeout time.Duration // a dial that takes longer has failed
}

// Rules is the part of the configuration that applies to requests and can change at SIGHUP: the
// decision module's settings, and the index that the decision module uses for each name of a class or
// tenant. It is replaced as a whole.
type Rules struct {
	Settings bramblelock.Settings
	Classes  map[string]int
	Tenants  map[string]int
}

// LongestDeadline returns the longest deadline of any class.
func (r *Rules) LongestDeadline() (d time.Duration) {
	for _, c := range r.Settings.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// Defaults of values that the file may omit.
const (
	defaultConnIdle    = time.Minute
	defaultDialTimeout = 250 * time.Millisecond
	defaultSockets     = 1024
)

// minSockets is the lowest limit on the file descriptors of the process with which it can serve.
const minSockets = 64

// fileConfig is the format of the file that GW_CONFIG names.
type fileConfig struct {
	Name      string
	Listen    string
	Discovery string
	Operator  string
	Seed      string
	Limits    struct {
		Cores    float64
		MemoryMB int `json:"memory_mb"`
		Sockets  int
	}
	Known      hostlist.List
	Membership Membership
	Settings   json.RawMessage

	overriddenBy map[string]string // variables that override keys of the file
}

// sourceOf returns where the value of a key comes from: the variable that overrides it, or the key.
func (f *fileConfig) sourceOf(key string) string {
	if variable, ok := f.overriddenBy[key]; ok {
		return variable
	}
	return key
}

// Membership is the "membership" object of the configuration: the host:port of this gateway's
// memberlist (UDP and TCP), and the peers through which it joins.
type Membership struct {
	Bind  string
	Peers []string
	Local bool // use memberlist's timing for one machine: probes time out after 200 ms, not 500 ms
}

// settingsNames is the part of the settings object that the gateway uses itself: names, and limits of
// connections to hosts.
type settingsNames struct {
	Classes []namedEntry
	Tenants []namedEntry
	Zones   []string `json:"azs"`
	Kinds   []string
	Caps    struct { // of the capabilities and limits in "caps", those that the gateway uses itself
		ConnIdle    float64 `json:"conn_idle"`    // microseconds
		DialTimeout float64 `json:"dial_timeout"` // microseconds
	}
}

type namedEntry struct{ Name string }

// Load reads the configuration from the file that GW_CONFIG names. The other GW_ variables override
// the file. An address to listen at is required even if GW_ACCEPT_FD is set. An error is one line that
// names the invalid key or variable, its value and what is allowed.
func Load(getenv func(string) string) (*Config, error) {
	f, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	for _, v := range []struct {
		name, key string
		to        *string
	}{
		{"GW_NAME", "name", &f.Name}, {"GW_LISTEN", "listen", &f.Listen},
		{"GW_DISCOVERY", "discovery", &f.Discovery}, {"GW_OPERATOR", "operator", &f.Operator},
	} {
		if s := getenv(v.name); s != "" {
			*v.to = s
			f.overriddenBy[v.key] = v.name
		}
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	if fd := getenv("GW_ACCEPT_FD"); fd != "" {
		if c.AcceptFD, err = strconv.Atoi(fd); err != nil || c.AcceptFD <= 2 {
			return nil, fmt.Errorf("GW_ACCEPT_FD: %q is no descriptor of a socket, which is above 2", fd)
		}
	}
	return c, nil
}

// Reload reads the file that GW_CONFIG names again, at SIGHUP, and validates all of it as at the start.
// The other GW_ variables apply to the start only and do not override the file here. Its settings must
// have every key that those in force have, except optionalKeys.
func Reload(getenv func(string) string, inForce *Config) (*Config, error) {
	f, err := readFile(getenv)
	if err != nil {
		return nil, err
	}
	// The listening addresses cannot change, and the file may omit them.
	f.Listen, f.Operator = inForce.Listen, inForce.Operator
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	c.AcceptFD = inForce.AcceptFD
	if c.Settings.MaxAttempts <= 0 && inForce.Settings.MaxAttempts > 0 {
		return nil, fmt.Errorf("settings.caps.max_attempts: %d is not above 0", c.Settings.MaxAttempts)
	}
	var before, after any
	if err := errors.Join(json.Unmarshal(inForce.rawSettings, &before), json.Unmarshal(c.rawSettings, &after)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if key := missingKey("settings", before, after); key != "" {
		return nil, fmt.Errorf("%s: missing or of another form than before", key)
	}
	return c, nil
}

// optionalKeys are keys of the settings that a reload may remove.
var optionalKeys = map[string]bool{"aim_stretch": true, "passes_deadline": true, "warm_keys": true, "fleet": true}

// missingKey returns the path of the first key that the old object has and the new one lacks, or
// has with another type. Each entry of a list must have the keys that all old entries share. It returns
// "" if no key is missing.
func missingKey(path string, old, updated any) string {
	switch old := old.(type) {
	case map[string]any:
		updated, ok := updated.(map[string]any)
		if !ok {
			return path
		}
		for _, key := range slices.Sorted(maps.Keys(old)) {
			if optionalKeys[key] {
				continue
			}
			v, ok := updated[key]
			if !ok {
				return path + "." + key
			}
			if m := missingKey(path+"."+key, old[key], v); m != "" {
				return m
			}
		}
	case []any:
		updated, ok := updated.([]any)
		if !ok {
			return path
		}
		shared := sharedKeys(old)
		for i, e := range updated {
			if m := missingKey(fmt.Sprintf("%s[%d]", path, i), shared, e); m != "" {
				return m
			}
		}
	case float64:
		if _, ok := updated.(float64); !ok {
			return path
		}
	case string:
		if _, ok := updated.(string); !ok {
			return path
		}
	case bool:
		if _, ok := updated.(bool); !ok {
			return path
		}
	}
	return ""
}

// sharedKeys returns an object with the keys that all entries have, or nil if the list is empty or has
// an entry that is no object.
func sharedKeys(list []any) any {
	var shared map[string]any
	for i, e := range list {
		entry, ok := e.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			shared = maps.Clone(entry)
		}
		maps.DeleteFunc(shared, func(key string, _ any) bool { _, ok := entry[key]; return !ok })
	}
	if shared == nil {
		return nil
	}
	return shared
}

func readFile(getenv func(string) string) (*fileConfig, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	f := &fileConfig{overriddenBy: map[string]string{}}
	if err := json.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %s: %w", path, typeError("", text, err))
	}
	return f, nil
}

func checkAddr(field, addr string) error {
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("%s: %q is no host:port", field, addr)
	}
	return nil
}

// config validates the contents of the file and converts them. It fills in the defaults of Sockets,
// ConnIdle and DialTimeout. Settings that are 0 for their default stay 0; their users fill them in.
// listen is required even if GW_ACCEPT_FD is set, which Load reads later.
func (f *fileConfig) config() (*Config, error) {
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Operator: f.Operator, Membership: f.Membership,
		Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Known: f.Known,
	}
	if err := f.checkAddrs(); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", f.Seed)
	}
	if err := c.checkLimits(); err != nil {
		return nil, err
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if len(f.Settings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, err = wire.ParseSettings(f.Settings); err != nil {
		return nil, settingsError(f.Settings, err)
	}
	if _, err := bramblelock.New(c.Settings, c.Seed); err != nil { // called only to validate the settings
		return nil, settingsError(f.Settings, err)
	}
	c.rawSettings = f.Settings
	var names settingsNames
	if err := json.Unmarshal(f.Settings, &names); err != nil {
		return nil, settingsError(f.Settings, err)
	}
	if err := c.applyNames(&names); err != nil {
		return nil, err
	}
	return c, nil
}

// checkAddrs validates the addresses.
func (f *fileConfig) checkAddrs() error {
	if err := checkAddr(f.sourceOf("listen"), f.Listen); err != nil {
		return err
	}
	if f.Operator != "" {
		if err := checkAddr(f.sourceOf("operator"), f.Operator); err != nil {
			return err
		}
	}
	if f.Membership.Bind != "" {
		if err := checkAddr("membership.bind", f.Membership.Bind); err != nil {
			return err
		}
		for _, peer := range f.Membership.Peers {
			if err := checkAddr("membership.peers", peer); err != nil {
				return err
			}
		}
	}
	for _, addr := range strings.Split(f.Discovery, ",") { // one address, or several of one service
		if err := checkAddr(f.sourceOf("discovery"), strings.TrimSpace(addr)); err != nil {
			return err
		}
	}
	return nil
}

// checkLimits validates the limits of the process.
func (c *Config) checkLimits() error {
	switch {
	case c.Cores < 0:
		return fmt.Errorf("limits.cores: %v is below 0", c.Cores)
	case c.MemoryMB < 0:
		return fmt.Errorf("limits.memory_mb: %d is below 0", c.MemoryMB)
	case c.Sockets < 0 || c.Sockets > 0 && c.Sockets < minSockets:
		return fmt.Errorf("limits.sockets: %d is too few, %d at least", c.Sockets, minSockets)
	}
	return nil
}

// applyNames validates the names and the limits of connections in the settings and stores them.
func (c *Config) applyNames(names *settingsNames) (err error) {
	if c.Classes, err = indexNames("classes", entryNames(names.Classes)); err != nil {
		return err
	}
	if c.Tenants, err = indexNames("tenants", entryNames(names.Tenants)); err != nil {
		return err
	}
	if c.Zones, err = indexNames("azs", names.Zones); err != nil {
		return err
	}
	if c.Kinds, err = indexNames("kinds", names.Kinds); err != nil {
		return err
	}
	if c.ConnIdle, err = microseconds("caps.conn_idle", names.Caps.ConnIdle, defaultConnIdle); err != nil {
		return err
	}
	c.DialTimeout, err = microseconds("caps.dial_timeout", names.Caps.DialTimeout, defaultDialTimeout)
	return err
}

// entryNames returns the names of entries.
func entryNames(entries []namedEntry) []string {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.Name
	}
	return names
}

// indexNames numbers names in the order of the settings, as the decision module does.
func indexNames(field string, list []string) (map[string]int, error) {
	m := make(map[string]int, len(list))
	for i, name := range list {
		if name == "" {
			return nil, fmt.Errorf("settings.%s[%d]: has no name", field, i)
		}
		if _, twice := m[name]; twice {
			return nil, fmt.Errorf("settings.%s[%d]: %q is there twice", field, i, name)
		}
		m[name] = i
	}
	return m, nil
}

// microseconds converts a duration from microseconds; 0 stands for the default.
func microseconds(field string, us float64, def time.Duration) (time.Duration, error) {
	if us == 0 {
		return def, nil
	}
	if !(us > 0 && us < float64(time.Hour/time.Microsecond)) {
		return 0, fmt.Errorf("settings.%s: %v is not between 0 and an hour of %d microseconds", field, us, time.Hour/time.Microsecond)
	}
	return time.Duration(us * float64(time.Microsecond)), nil
}
