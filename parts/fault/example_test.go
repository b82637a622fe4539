package fault_test

import (
	"errors"
	"fmt"

	"fuchsiashelf.dev/parts/fault"
)

// A request is NotRun only if all of its attempts are.
func ExampleVerdict_Weaken() {
	refused := fault.NotRun
	lost := fault.MayHaveRun
	fmt.Println(refused.Weaken(refused))
	fmt.Println(refused.Weaken(lost))
	fmt.Println(lost.Weaken(fault.Ran))
	// Output:
	// not-run
	// may-have-run
	// ran
}

// Nothing is known about an error of another package, so its verdict is
// MayHaveRun.
func ExampleAs() {
	e := fault.As(errors.New("connection reset"))
	fmt.Println(e.Code, e.Verdict, e.Status())
	// Output: internal may-have-run 500
}
