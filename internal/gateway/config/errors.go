package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"
)

// This file states what is wrong with a configuration in the terms of its file: the key, its value and
// what is allowed.

// typeError names the key whose value has a wrong type if that is what err reports, and returns err
// otherwise. text is what was decoded, and prefix the path of it, with a dot at its end, or "".
func typeError(prefix string, text []byte, err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	key := prefix + strings.ToLower(mismatch.Field) // the path has Go names where a key has no tag
	return fmt.Errorf("%s: %s is not %s", strings.TrimSuffix(key, "."), valueEndingAt(text, mismatch.Offset), typeName(mismatch.Type))
}

// valueEndingAt returns the value whose last byte precedes offset, as it is written in JSON. For a list or
// an object, of which offset is within, it returns a word.
func valueEndingAt(text []byte, offset int64) string {
	tokens := json.NewDecoder(bytes.NewReader(text))
	tokens.UseNumber()
	for {
		token, err := tokens.Token()
		switch {
		case err != nil:
			return "the value"
		case tokens.InputOffset() < offset:
			continue
		case token == json.Delim('['):
			return "a list"
		case token == json.Delim('{'):
			return "an object"
		}
		return formatValue(token)
	}
}

// formatValue returns a value that was decoded with json.Decoder.UseNumber as it is written in JSON.
func formatValue(value any) string {
	switch value := value.(type) {
	case []any:
		return "a list of " + strconv.Itoa(len(value))
	case map[string]any:
		return "an object"
	case string:
		return strconv.Quote(value)
	}
	return fmt.Sprint(value)
}

// typeName describes the JSON values that can be decoded into a type.
func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Float64:
		return "a number of 64 bits"
	case reflect.Uint64:
		return "a whole number of 64 bits from 0 on"
	case reflect.Int, reflect.Int64:
		return "a whole number of 64 bits"
	case reflect.Slice:
		return "a list"
	}
	return "an object"
}

// settingRule states what is allowed for a key of the settings.
type settingRule struct {
	key     string // path in the settings; [] stands for each entry of a list
	allowed string
	valid   func(value any) bool // value is nil if the key is missing
}

// Upper limits of numbers in the settings.
const (
	maxSettingCount  = 1 << 20
	maxSettingMicros = 1000 * float64(time.Hour/time.Microsecond)
	maxSettingNumber = 1e12
)

// settingRules returns the rules by which the settings are checked, in the order in which they are
// applied. A setting that is valid by them all may still be rejected for another reason.
func settingRules(settings any) []settingRule {
	instances := 1.0
	for _, v := range findValues(settings, "balancers") {
		instances = max(instances, settingNumber(v.value))
	}
	return []settingRule{
		oneOf("discovery", "", "automatic", "subscribe"),
		oneOf("classes[].effect", "idempotent", "deduplicated", "at_most_once"),
		oneOf("classes[].group", "", "all", "zone", "cell"),
		between("balancers", 1, maxSettingCount),
		between("rank", 0, instances-1),
		{"classes", "a list of one class or more", func(value any) bool {
			list, ok := value.([]any)
			return ok && len(list) > 0
		}},
		between("caps.max_attempts", 0, maxSettingCount),
		duration("step"),
		duration("obligations.ask_within"),
		duration("obligations.warm_after"),
		duration("obligations.fall"),
		duration("obligations.drain_grace"),
		between("obligations.cold_from", 0, maxSettingNumber),
		between("obligations.overload_factor", 0, maxSettingNumber),
		between("over_share_worth", 0, maxSettingNumber),
		duration("classes[].promise"),
		{"classes[].hard_limit", "above 0 and up to " + formatNumber(maxSettingMicros) + " microseconds", func(value any) bool {
			number := settingNumber(value)
			return number > 0 && number <= maxSettingMicros
		}},
		duration("classes[].window"),
		between("classes[].importance", 0, maxSettingNumber),
		between("tenants[].quota_per_s", 0, maxSettingNumber),
		duration("caps.max_retry_after"), // the last one, as it counts only together with caps.retry_after
	}
}

// between returns the rule that a number has to be in a range, its limits included.
func between(key string, low, high float64) settingRule {
	return settingRule{key, "between " + formatNumber(low) + " and " + formatNumber(high), func(value any) bool {
		number := settingNumber(value)
		return number >= low && number <= high
	}}
}

// duration returns the rule for a time in microseconds that may be 0.
func duration(key string) settingRule {
	rule := between(key, 0, maxSettingMicros)
	rule.allowed += " microseconds"
	return rule
}

// oneOf returns the rule that a string has to be one of names. If the first of them is empty, the key may
// be missing.
func oneOf(key string, names ...string) settingRule {
	var quoted []string
	for _, name := range names {
		quoted = append(quoted, strconv.Quote(name))
	}
	return settingRule{key, "one of " + strings.Join(quoted, ", "), func(value any) bool {
		text, _ := value.(string)
		return slices.Contains(names, text)
	}}
}

// formatNumber returns a number without an exponent.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// settingNumber returns the number that a value of the settings holds, which is 0 if the key is missing.
func settingNumber(value any) float64 {
	switch value := value.(type) {
	case nil:
		return 0
	case json.Number:
		number, err := value.Float64()
		if err == nil {
			return number
		}
	}
	return math.NaN()
}

// settingValue is a value of the settings and its path.
type settingValue struct {
	path  string
	value any // nil if the key is missing
}

// findValues returns the values of a key, which is a path as in settingRule.
func findValues(settings any, key string) []settingValue {
	found := []settingValue{{"settings", settings}}
	for _, name := range strings.Split(key, ".") {
		name, isList := strings.CutSuffix(name, "[]")
		var next []settingValue
		for _, parent := range found {
			child := settingValue{parent.path + "." + name, valueOf(parent.value, name)}
			if !isList {
				next = append(next, child)
				continue
			}
			entries, _ := child.value.([]any)
			for i, entry := range entries {
				next = append(next, settingValue{fmt.Sprintf("%s[%d]", child.path, i), entry})
			}
		}
		found = next
	}
	return found
}

// valueOf returns the value of a key of an object, whatever the case of its letters, as encoding/json
// does. It returns nil if there is none.
func valueOf(object any, name string) any {
	entries, _ := object.(map[string]any)
	if value, ok := entries[name]; ok {
		return value
	}
	for key, value := range entries {
		if strings.EqualFold(key, name) {
			return value
		}
	}
	return nil
}

// settingsError returns an error that names the key for which the settings in text were rejected with
// err, which speaks of fields of bramblelock.Settings. It returns err if no rule is broken.
func settingsError(text []byte, err error) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var settings any
	if decoder.Decode(&settings) != nil {
		return err
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return typeError("settings.", text, err)
	}
	for _, rule := range settingRules(settings) {
		for _, found := range findValues(settings, rule.key) {
			switch {
			case rule.valid(found.value):
			case found.value == nil:
				return fmt.Errorf("%s: missing, must be %s", found.path, rule.allowed)
			default:
				return fmt.Errorf("%s: %s is not %s", found.path, formatValue(found.value), rule.allowed)
			}
		}
	}
	return err
}
