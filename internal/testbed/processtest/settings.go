package processtest

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	// callDownstream is the value of the setting "downstream" under which requests call a vault.
	callDownstream = "tier"
	// longRetentionMS is a retention window longer than any play, even on a slow machine.
	longRetentionMS = 600_000
	// amplePlayMemoryKB is enough memory for all keys of a play. With less, the keys would fill the memory long before
	// the end of a play; the server would then reject requests, and a rejected request cannot reveal a duplicate run.
	amplePlayMemoryKB = 16e6
)

// callSettings are the parts of the settings that determine which requests call a vault.
type callSettings struct {
	Classes []classSettings `json:"classes"`
	Extra   extraSettings   `json:"extra"`
}

// classSettings are the parts of a class's settings that this package reads.
type classSettings struct {
	Name string `json:"name"`
}

// extraSettings are the parts of the extra settings that this package reads.
type extraSettings struct {
	Downstream string `json:"downstream"`
	ClassCalls []bool `json:"class_calls"` // by the index of the class
}

// callingClasses returns the classes whose requests call the vault. It returns none for settings that it cannot parse.
func callingClasses(settings json.RawMessage) (names []string) {
	var parsed callSettings
	if json.Unmarshal(settings, &parsed) != nil || parsed.Extra.Downstream != callDownstream {
		return nil
	}
	for i, class := range parsed.Classes {
		if i < len(parsed.Extra.ClassCalls) && parsed.Extra.ClassCalls[i] {
			names = append(names, class.Name)
		}
	}
	return names
}

// vaultFor opens a vault if requests call one under the settings. Otherwise it returns nil.
func vaultFor(settings json.RawMessage) (*Vault, error) {
	if len(callingClasses(settings)) == 0 {
		return nil, nil
	}
	return NewVault()
}

// WithCalls returns a copy of the settings under which requests of the given classes call the vault.
func WithCalls(settings json.RawMessage, classes ...string) (json.RawMessage, error) {
	var document map[string]any
	if err := json.Unmarshal(settings, &document); err != nil {
		return nil, fmt.Errorf("processtest: settings: %w", err)
	}
	all, _ := document["classes"].([]any)
	calls := make([]bool, len(all))
	for i, entry := range all {
		class, _ := entry.(map[string]any)
		name, _ := class["name"].(string)
		calls[i] = slices.Contains(classes, name)
	}
	extra, _ := document["extra"].(map[string]any)
	if extra == nil {
		return nil, errors.New("processtest: settings: extra is missing")
	}
	extra["downstream"] = callDownstream
	extra["class_calls"] = calls
	return json.Marshal(document)
}

// LongRetention returns a copy of the settings with retention windows longer than any play and memory for all its keys.
// It returns settings that it cannot parse unchanged: the program reports the error.
func LongRetention(settings json.RawMessage) json.RawMessage {
	var document map[string]any
	if err := json.Unmarshal(settings, &document); err != nil {
		return settings
	}
	classes, _ := document["classes"].([]any)
	for _, entry := range classes {
		if class, ok := entry.(map[string]any); ok && class["window_ms"] != nil {
			class["window_ms"] = longRetentionMS
		}
	}
	setAmpleMemory(document)
	changed, err := json.Marshal(document)
	if err != nil {
		return settings
	}
	return changed
}

func setAmpleMemory(document map[string]any) {
	if extra, ok := document["extra"].(map[string]any); ok {
		extra["memory_kb"] = amplePlayMemoryKB
	}
}
