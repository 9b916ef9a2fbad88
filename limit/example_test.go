package limit_test

import (
	"fmt"

	"github.com/bilberrylink/bilberrylink/limit"
)

// Retries are limited to a fraction of the requests, so that they cannot amplify an overload.
func ExampleRetryBudgets() {
	budgets := limit.NewRetryBudgets(limit.RetryBudgetOptions{MinBalance: 1, Ratio: 0.1})
	fmt.Println(budgets.TryWithdraw("order-desk"), budgets.TryWithdraw("order-desk"))
	for range 10 {
		budgets.Deposit("order-desk")
	}
	fmt.Println(budgets.TryWithdraw("order-desk"))
	// Output:
	// true false
	// true
}
