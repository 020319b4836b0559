package timekeeper_test

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func ExampleManual() {
	clock := timekeeper.NewManual(0)
	clock.Advance(90 * timekeeper.Second)
	fmt.Println(clock.Now())
	// Output: 1970-01-01T00:01:30.000Z
}

func ExampleParseDuration() {
	_, err := timekeeper.ParseDuration("soon")
	fmt.Println(err)
	// Output: duration "soon": time: invalid duration "soon"
}
