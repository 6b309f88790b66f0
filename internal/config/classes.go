package config

import (
	"errors"
	"fmt"
	"math"

	"pewterline/control"
)

var errNoClasses = errors.New("none")

// checkClasses returns the first error in the classes of the settings.
func checkClasses(settings control.Settings) error {
	if len(settings.Classes) == 0 {
		return &KeyError{Key: "settings.classes", Err: errNoClasses}
	}
	seen := map[string]bool{}
	for i, class := range settings.Classes {
		if err := checkClass(i, class, seen[class.Name]); err != nil {
			return err
		}
		seen[class.Name] = true
	}
	return nil
}

// checkClass checks one class. duplicate means that an earlier class has the same name.
func checkClass(index int, class control.Class, duplicate bool) error {
	keyErrorf := func(key, format string, args ...any) error {
		return inJSON.errorf(fmt.Sprintf("settings.classes[%d].%s (%q)", index, key, class.Name), format, args...)
	}
	keyed := class.Idempotency == control.IdempotentByKey
	switch {
	case !isWord(class.Name):
		return keyErrorf("name", "must be one word without white space")
	case duplicate:
		return keyErrorf("name", "duplicate name")
	case class.Deadline <= 0:
		return keyErrorf("hard_limit_ms", "%v is not over 0", class.Deadline)
	case class.LatencyObjective <= 0:
		return keyErrorf("aim_ms", "%v is not over 0", class.LatencyObjective)
	case class.RetentionWindow < 0 || keyed && class.RetentionWindow == 0:
		return keyErrorf("window_ms", "%v is not over 0", class.RetentionWindow)
	case !(class.Weight >= 0) || math.IsInf(class.Weight, 0): // the negated comparison also catches NaN
		return keyErrorf("worth", "%v is under 0", class.Weight)
	default:
		return nil
	}
}
