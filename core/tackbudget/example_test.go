package tackbudget_test

import (
	"fmt"

	"auburntack/core/tackbudget"
)

// Of ten VMs one is lost and one is settling. With a budget of 80%, taking out
// another one would leave seven proven VMs of the eight required.
func ExampleShortfall() {
	var count tackbudget.Count
	for i := range 10 {
		count.Add(tackbudget.VMStatus{Available: i != 0, Settling: i == 1, Taken: i == 2})
	}
	budget := tackbudget.Budget{MinAvailable: 80, Percent: true}
	fmt.Println(tackbudget.Required(budget, count.Total), count.Available, count.Proven, tackbudget.Shortfall(budget, count))
	// Output: 8 8 7 1
}
