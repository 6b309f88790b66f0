package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// optionalKeys are the keys that a file may leave out though the one before had them: the platform's pages say so, or
// the environment may give them.
var optionalKeys = map[string]bool{
	"name":            true,
	"listen":          true,
	"admin":           true,
	"aim_stretch":     true,
	"passes_deadline": true,
	"fleet":           true,
}

var errKeyGone = errors.New("missing; the file in force has it")

// RequireKeysOf returns an error that names a key which the file in force has and this one does not; nil: there is
// none. It protects a running server from a truncated file: what is missing there is no wish for a default. Each entry
// of a list needs the keys that all of its entries had before.
func (c Config) RequireKeysOf(inForce Config) error {
	if inForce.Document == nil {
		return nil
	}
	if key := missingKey("", inForce.Document, c.Document); key != "" {
		return &KeyError{Key: key, Err: errKeyGone}
	}
	return nil
}

// missingKey returns the path of the first key, in the order of their names, that only the value before has; "": there
// is none.
func missingKey(path string, before, now any) string {
	switch before := before.(type) {
	case map[string]any:
		now, _ := now.(map[string]any) // of another type: it has no keys
		return missingInObject(path, before, now)
	case []any:
		now, _ := now.([]any) // of another type: it has no entries
		return missingInList(path, before, now)
	default:
		return ""
	}
}

func missingInObject(path string, before, now map[string]any) string {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		keyPath := strings.TrimPrefix(path+"."+key, ".")
		if now[key] == nil {
			if before[key] != nil && !optionalKeys[key] {
				return keyPath
			}
			continue
		}
		if missing := missingKey(keyPath, before[key], now[key]); missing != "" {
			return missing
		}
	}
	return ""
}

func missingInList(path string, before, now []any) string {
	common := commonKeys(before)
	for i, entry := range now {
		if missing := missingKey(fmt.Sprintf("%s[%d]", path, i), common, entry); missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns the keys that all entries of a list have, with the first one's values; nil where the entries are
// no objects.
func commonKeys(list []any) any {
	var common map[string]any
	for _, entry := range list {
		object, ok := entry.(map[string]any)
		if !ok {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
		}
		maps.DeleteFunc(common, func(key string, _ any) bool { return object[key] == nil })
	}
	if common == nil {
		return nil // not a nil map, which would be an object
	}
	return common
}
