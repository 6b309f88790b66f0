package reload_test

import (
	"fmt"
	"time"

	"pewterline/control"
	"pewterline/internal/decide/reload"
)

// A class whose deadline changes gets a new slot while open requests still use the old one.
func ExamplePlaceClasses() {
	table := []control.Class{
		{Name: "view", Deadline: time.Second},
		{Name: "order", Deadline: 4 * time.Second},
	}
	next := []control.Class{
		{Name: "view", Deadline: time.Second},
		{Name: "order", Deadline: 2 * time.Second},
	}
	placed, err := reload.PlaceClasses(table, next, func(int) bool { return false })
	if err != nil {
		fmt.Println(err)
	}
	for slot, class := range placed {
		fmt.Println(slot, class.Name, class.Deadline, "retired:", class.Retired)
	}
	// Output:
	// 0 view 1s retired: false
	// 1 order 4s retired: true
	// 2 order 2s retired: false
}
