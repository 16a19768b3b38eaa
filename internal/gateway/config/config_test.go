package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramblelock"
)

const goodConfig = `{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.2:8500","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"version":41,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.3:9000","zone":"a","kind":"m2","cell":3,
		"state":"ready","weight":1.0,"started_ms":5}]},
	"settings":{"balancers":2,"rank":1,"azs":["a"],"kinds":["m1","m2"],"unheard":{"of":1},
		"caps":{"conn_idle":60000000,"dial_timeout":250000},"tenants":[{"name":"acme","quota_per_s":10}],
		"classes":[{"name":"look","effect":"idempotent","hard_limit":1000000},
			{"name":"book","effect":"at_most_once","hard_limit":1000000}]}}`

// load writes the configuration to a file and loads it as the program does.
func load(t *testing.T, text string, vars ...string) (*Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"GW_CONFIG": path}
	for i := 0; i < len(vars); i += 2 {
		env[vars[i]] = vars[i+1]
	}
	return Load(func(name string) string { return env[name] })
}

func TestLoad(t *testing.T) {
	c, err := load(t, goodConfig, "GW_LISTEN", "127.0.0.9:9000")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.9:9000" || c.Discovery != "127.0.0.2:8500" || c.Seed != 0x8c1f30d27a5be964 {
		t.Errorf("%+v", c)
	}
	if c.MemoryMB != 192 || c.Sockets != 1024 || c.Cores != 1 {
		t.Errorf("limits %v, %v, %v", c.Cores, c.MemoryMB, c.Sockets)
	}
	if c.Classes["book"] != 1 || c.Kinds["m2"] != 1 || c.Tenants["acme"] != 0 || c.Zones["a"] != 0 || len(c.Classes) != 2 {
		t.Errorf("names %v %v %v %v", c.Classes, c.Kinds, c.Tenants, c.Zones)
	}
	if c.ConnIdle != time.Minute || c.DialTimeout != 250*time.Millisecond {
		t.Errorf("caps %v, %v", c.ConnIdle, c.DialTimeout)
	}
	if c.Settings.Instances != 2 || c.Settings.Rank != 1 || c.Settings.Classes[1].Effect != bramblelock.AtMostOnce {
		t.Errorf("settings %+v", c.Settings)
	}
	if len(c.Known.Servers) != 1 || c.Known.Version != 41 {
		t.Errorf("known %+v", c.Known)
	}
}

// An error must be one line that names the invalid key, its value as it is written, and what is allowed.
func TestLoadErrorNamesField(t *testing.T) {
	obligation := func(text string) string { return `"rank":1,"obligations":{` + text + `}` }
	const (
		anyTime   = " is not between 0s and 1000h0m0s"
		anyNumber = " is not between 0 and 1e+12"
	)
	for _, tt := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:9000"`, `"listen":"127.0.0.1"`, `listen: "127.0.0.1" is no host:port`},
		{`"discovery":"127.0.0.2:8500",`, ``, `discovery: "" is no host:port`},
		{`"8c1f30d27a5be964"`, `"soon"`, `seed: "soon" is no hexadecimal number of 64 bits`},
		{`"8c1f30d27a5be964"`, `5`, "seed: 5 is not a string"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb: -1 is below 0"},
		{`"memory_mb":192`, `"memory_mb":"much"`, `limits.memory_mb: "much" is not a whole number`},
		{`"cores":1.0`, `"cores":-1`, "limits.cores: -1 is below 0"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets: 3 is too few, 64 at least"},
		{`"settings"`, `"set"`, "settings: missing"},
		{`"balancers":2`, `"balancers":0`, "settings.balancers: 0 is not between 1 and 1048576"},
		{`"balancers":2`, `"balancers":2.5`, "settings.balancers: 2.5 is not a whole number"},
		{`"balancers":2`, `"Balancers":-2`, "settings.balancers: -2 is not between 1 and 1048576"},
		{`"rank":1`, `"rank":2`, "settings.rank: 2 is not between 0 and 1"},
		{`"rank":1`, `"rank":1,"discovery":"subscrib"`, `settings.discovery: "subscrib" is not one of "", "automatic", "subscribe"`},
		{`"rank":1`, `"rank":1,"step":-1`, "settings.step: -1µs" + anyTime},
		{`"rank":1`, `"rank":1,"over_share_worth":-1`, "settings.over_share_worth: -1" + anyNumber},
		{`"rank":1`, obligation(`"ask_within":-1`), "settings.obligations.ask_within: -1µs" + anyTime},
		{`"rank":1`, obligation(`"cold_from":-1`), "settings.obligations.cold_from: -1" + anyNumber},
		{`"rank":1`, obligation(`"warm_after":-1`), "settings.obligations.warm_after: -1µs" + anyTime},
		{`"rank":1`, obligation(`"overload_factor":2e12`), "settings.obligations.overload_factor: 2e+12" + anyNumber},
		{`"rank":1`, obligation(`"fall":1e300`), "settings.obligations.fall: 2562047h47m16.854775807s" + anyTime},
		{`"rank":1`, obligation(`"drain_grace":true`), "settings.obligations.drain_grace: true is not a number"},
		{`"rank":1`, `"rank":1,"obligations":[2]`, "settings.obligations: a list is not an object"},
		{`"conn_idle"`, `"max_attempts":-1,"conn_idle"`, "settings.caps.max_attempts: -1 is not between 0 and 1048576"},
		{`"conn_idle"`, `"retry_after":true,"max_retry_after":-1,"conn_idle"`, "settings.caps.max_retry_after: -1µs" + anyTime},
		{`"quota_per_s":10`, `"quota_per_s":-1`, "settings.tenants[0].quota_per_s: -1" + anyNumber},
		{`"classes":[`, `"classes":[],"klasses":[`, "settings.classes: an empty list is not a list of one class or more"},
		{`"classes":[`, `"klasses":[`, "settings.classes: an empty list is not a list of one class or more"},
		{`"effect":"idempotent"`, `"effect":"deduplicated","window":-5`, "settings.classes[0].window: -5µs" + anyTime},
		{`"effect":"idempotent"`, `"effect":"deduplicated","group":"rack"`, `settings.classes[0].group: "rack" is not one of "", "all", "cell", "zone"`},
		{`"effect":"idempotent"`, `"effect":"harmless"`, `settings.classes[0].effect: "harmless" is not one of "at_most_once", "deduplicated", "idempotent"`},
		{`"effect":"at_most_once",`, ``, `settings.classes[1].effect: "" is not one of "at_most_once", "deduplicated", "idempotent"`},
		{`"effect":"idempotent"`, `"effect":"idempotent","promise":-1`, "settings.classes[0].promise: -1µs" + anyTime},
		{`"effect":"idempotent"`, `"effect":"idempotent","importance":-1`, "settings.classes[0].importance: -1" + anyNumber},
		{`"hard_limit":1000000},`, `"hard_limit":0},`, "settings.classes[0].hard_limit: 0s is not above 0s and up to 1000h0m0s"},
		{`"version":41`, `"version":-41`, "known.version: -41 is not a whole number"},
		{`"started_ms":5`, `"started_ms":"noon"`, `known.servers.started_ms: "noon" is not a whole number`},
		{`"name":"book"`, `"name":"look"`, `settings.classes[1]: "look" is there twice`},
		{`"name":"acme"`, `"name":""`, "settings.tenants[0]: has no name"},
		{`"azs":["a"]`, `"azs":1`, "settings.azs: 1 is not a list"},
		{`"dial_timeout":250000`, `"dial_timeout":-1`, "settings.caps.dial_timeout: -1 is not between 0 and an hour of 3600000000 microseconds"},
		{`{"name":"n3"`, `{"name":`, "GW_CONFIG"},
	} {
		text := strings.Replace(goodConfig, tt.from, tt.to, 1)
		if text == goodConfig {
			t.Fatalf("%s is not in the configuration", tt.from)
		}
		_, err := load(t, text)
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with %q", tt.to, err, tt.want)
		}
	}
	for name, value := range map[string]string{"GW_CONFIG": "", "GW_LISTEN": "nowhere", "GW_DISCOVERY": "nowhere", "GW_OPERATOR": "nowhere", "GW_ACCEPT_FD": "2"} {
		if _, err := load(t, goodConfig, name, value); err == nil || !strings.HasPrefix(err.Error(), name+": ") {
			t.Errorf("%s=%s: error %v", name, value, err)
		}
	}
}

// An invalid file must be rejected as a whole, with the reason, and a missing key must not be
// replaced by its default. Optional keys may be missing, and values may change.
func TestReloadRejectsInvalidFile(t *testing.T) {
	good := strings.Replace(goodConfig, `"dial_timeout":250000`, `"dial_timeout":250000,"max_attempts":6`, 1)
	good = strings.Replace(good, `"hard_limit":1000000}]`, `"hard_limit":1000000,"aim_stretch":2}]`, 1)
	inForce, err := load(t, good, "GW_LISTEN", "127.0.0.9:9000")
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text string) (*Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return Reload(func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }, inForce)
	}
	replaced := func(from, to string) string {
		if !strings.Contains(good, from) {
			t.Fatalf("the configuration lacks %s", from)
		}
		return strings.Replace(good, from, to, 1)
	}
	for _, tt := range []struct{ name, text, want string }{
		{"empty", "", "JSON"},
		{"cut off", good[:len(good)-40], "JSON"},
		{"no object", "null", "discovery"},
		{"no settings", replaced(`"settings":`, `"setting":`), "settings"},
		{"no classes", replaced(`"classes":[`, `"klasses":[`), "classes"},
		{"no name", replaced(`{"name":"look",`, `{`), "name"},
		{"no deadline", replaced(`,"hard_limit":1000000}`, `}`), "classes[0].hard_limit"},
		{"deadline of 0", replaced(`"hard_limit":1000000}`, `"hard_limit":0}`), "classes[0].hard_limit"},
		{"deadline below 0", replaced(`"hard_limit":1000000}`, `"hard_limit":-1}`), "classes[0].hard_limit"},
		{"attempts of 0", replaced(`"max_attempts":6`, `"max_attempts":0`), "max_attempts"},
		{"attempts below 0", replaced(`"max_attempts":6`, `"max_attempts":-2`), "caps.max_attempts"},
		{"no attempts", replaced(`,"max_attempts":6`, ``), "max_attempts"},
		{"no caps", replaced(`"caps":`, `"cups":`), "caps"},
		{"no effect", replaced(`"effect":"idempotent",`, ``), "effect"},
		{"unknown effect", replaced(`"idempotent"`, `"harmless"`), "effect"},
		{"no tenants", replaced(`"tenants":[{"name":"acme","quota_per_s":10}],`, ``), "tenants"},
		{"no quota", replaced(`,"quota_per_s":10`, ``), "tenants[0].quota_per_s"},
		{"a number for a list", replaced(`"azs":["a"]`, `"azs":1`), "azs"},
		{"no discovery", replaced(`"discovery":"127.0.0.2:8500",`, ``), "discovery"},
	} {
		if c, err := reload(tt.text); err == nil {
			t.Errorf("%s: accepted as %+v", tt.name, c.Rules)
		} else if !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %q, want a line with %q", tt.name, err, tt.want)
		}
	}
	more := `{"name":"haul","effect":"at_most_once","hard_limit":9000000,"promise":1000000}`
	c, err := reload(strings.Replace(replaced(`{"name":"look","effect":"idempotent","hard_limit":1000000}`, more),
		`"max_attempts":6`, `"max_attempts":2`, 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, dropped := c.Classes["look"]; dropped || c.Classes["haul"] != 0 || c.Settings.MaxAttempts != 2 ||
		c.Settings.Classes[0].Deadline != 9*time.Second || c.Listen != "127.0.0.9:9000" {
		t.Errorf("%+v", c)
	}
}
