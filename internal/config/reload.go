package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"pewterline/control"
)

// checkClasses names the first class whose figures make no sense.
func checkClasses(s control.Settings) error {
	if len(s.Classes) == 0 {
		return errors.New("config: settings.classes: none")
	}
	seen := map[string]bool{}
	for i, k := range s.Classes {
		key := func(name string) string { return fmt.Sprintf("config: settings.classes[%d].%s (%q)", i, name, k.Name) }
		switch {
		case k.Name == "" || strings.ContainsAny(k.Name, " \r\n\t"):
			return fmt.Errorf("%s: not one word", key("name"))
		case seen[k.Name]:
			return fmt.Errorf("%s: there twice", key("name"))
		case k.Deadline <= 0:
			return fmt.Errorf("%s: %v is not over 0", key("hard_limit_ms"), k.Deadline)
		case k.LatencyObjective <= 0:
			return fmt.Errorf("%s: %v is not over 0", key("aim_ms"), k.LatencyObjective)
		case k.RetentionWindow < 0 || k.Idempotency == control.IdempotentByKey && k.RetentionWindow == 0:
			return fmt.Errorf("%s: %v is not over 0", key("window_ms"), k.RetentionWindow)
		case !(k.Weight >= 0) || math.IsInf(k.Weight, 0):
			return fmt.Errorf("%s: %v is under 0", key("worth"), k.Weight)
		}
		seen[k.Name] = true
	}
	return nil
}

// free are the keys that a file may leave out though the one before had them: the platform's pages say so, or the
// environment may give them.
var free = map[string]bool{"name": true, "listen": true, "admin": true, "aim_stretch": true, "passes_deadline": true, "fleet": true}

// RequireKeysOf names a key that the file in force has and this one does not; nil: none. Guards a server that serves against a file
// that was cut or forgotten in part: what is missing is no wish for a default. A list's entries need what all of its entries
// had before.
func (c Config) RequireKeysOf(inForce Config) error {
	if inForce.Document == nil {
		return nil
	}
	if key := lacks("", inForce.Document, c.Document); key != "" {
		return fmt.Errorf("config: %s: missing; the file in force has it", key)
	}
	return nil
}

func lacks(path string, before, now any) string {
	switch before := before.(type) {
	case map[string]any:
		now, _ := now.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(before)) {
			at := strings.TrimPrefix(path+"."+key, ".")
			if now[key] == nil && before[key] != nil && !free[key] {
				return at
			}
			if missing := lacks(at, before[key], now[key]); missing != "" && now[key] != nil {
				return missing
			}
		}
	case []any:
		now, _ := now.([]any)
		for i, entry := range now {
			if missing := lacks(fmt.Sprintf("%s[%d]", path, i), common(before), entry); missing != "" {
				return missing
			}
		}
	}
	return ""
}

// common is what all entries of a list have, where they are objects.
func common(list []any) any {
	var out map[string]any
	for _, entry := range list {
		m, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if out == nil {
			out = maps.Clone(m)
		}
		maps.DeleteFunc(out, func(k string, _ any) bool { return m[k] == nil })
	}
	if out == nil {
		return nil
	}
	return out
}
