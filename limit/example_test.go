package limit_test

import (
	"fmt"

	"github.com/bilberrylink/bilberrylink/limit"
)

// Retries are limited to a fraction of the requests, so that they cannot amplify an overload.
func ExampleBudgets() {
	budgets := limit.NewBudgets(limit.BudgetOptions{Minimum: 1, Ratio: 0.1})
	fmt.Println(budgets.Spend("order-desk"), budgets.Spend("order-desk"))
	for range 10 {
		budgets.Earn("order-desk")
	}
	fmt.Println(budgets.Spend("order-desk"))
	// Output:
	// true false
	// true
}
