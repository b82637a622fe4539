package retry_test

import (
	"fmt"
	"time"

	"fuchsiashelf.dev/parts/retry"
)

// A chain whose tokens arrive every 20 ms has sent nothing for a while.
func ExampleTimeouts_Next() {
	var gaps retry.Gaps
	for range 100 {
		gaps.Observe(20 * time.Millisecond)
	}
	timeouts := gaps.Timeouts()
	for _, idle := range []time.Duration{50, 120, 260} {
		phase, wait := timeouts.Next(idle*time.Millisecond, false)
		fmt.Println(phase == retry.Failed, wait)
	}
	// Output:
	// false 50ms
	// false 130ms
	// true 0s
}
