package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// optionalKeys are the keys that a new file may omit even if the file in force has them. The platform declares them
// optional, or the environment may set them.
var optionalKeys = map[string]bool{
	"name":            true,
	"listen":          true,
	"admin":           true,
	"aim_stretch":     true,
	"passes_deadline": true,
	"fleet":           true,
}

var errKeyMissing = errors.New("missing; the file in force has it")

// RequireKeysOf returns an error if a required key of the file in force is missing in this file. It prevents a running
// server from loading a truncated file, in which a missing key does not mean that the default is wanted. Each entry of
// a list needs the keys that all entries of the list in force have.
func (c Config) RequireKeysOf(inForce Config) error {
	if inForce.Document == nil {
		return nil
	}
	if key := missingKey("", inForce.Document, c.Document); key != "" {
		return &KeyError{Key: key, Err: errKeyMissing}
	}
	return nil
}

// missingKey returns the path of the first key, in alphabetical order, that is in before but missing in now. It returns
// an empty path if there is none.
func missingKey(path string, before, now any) string {
	switch before := before.(type) {
	case map[string]any:
		now, _ := now.(map[string]any) // nil if it has another type; then all keys are missing
		return missingInObject(path, before, now)
	case []any:
		now, _ := now.([]any) // nil if it has another type
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

// commonKeys returns the keys that all entries of a list have, with the values of the first entry. It returns nil if
// the list is empty or an entry is not an object.
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
		return nil // an untyped nil, because a nil map would count as an object
	}
	return common
}
