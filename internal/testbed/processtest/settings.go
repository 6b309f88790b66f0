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
	// longRetentionMS outlasts any play, however slow the machine is.
	longRetentionMS = 600_000
	// amplePlayMemoryKB is enough for all keys of a play: with less, they fill the memory long before a play is over, and
	// what is rejected never runs twice.
	amplePlayMemoryKB = 16e6
)

// callSettings are the parts of the settings that tell which requests call a vault.
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
	ClassCalls []bool `json:"class_calls"` // by the place of the class
}

// callingClasses returns the classes whose requests call the vault; none for settings that cannot be read.
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

// vaultFor opens a vault where requests call one under the settings; else it returns nil.
func vaultFor(settings json.RawMessage) (*Vault, error) {
	if len(callingClasses(settings)) == 0 {
		return nil, nil
	}
	return NewVault()
}

// WithCalls returns settings under which requests of some classes call the vault.
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
		return nil, errors.New("processtest: settings: no extra")
	}
	extra["downstream"] = callDownstream
	extra["class_calls"] = calls
	return json.Marshal(document)
}

// LongRetention returns settings whose retention windows outlast any play, with memory for all its keys. Settings that
// cannot be read come back as they are: the program names what is wrong with them.
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
