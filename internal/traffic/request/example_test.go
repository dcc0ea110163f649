package request_test

import (
	"fmt"
	"strings"

	"shallotramp/internal/traffic/request"
)

func ExamplePrefixOf() {
	system := strings.Repeat("You book flat-pack fitters. ", 100)
	a, b := request.PrefixOf(system+"A wardrobe in Leicester."), request.PrefixOf(system+"A cot in Derby.")
	fmt.Println(len(a), a[0] == b[0], a[1] == b[1])
	// Output: 2 true true
}
