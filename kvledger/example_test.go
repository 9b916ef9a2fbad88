package kvledger_test

import (
	"context"
	"fmt"
	"time"

	"github.com/bilberrylink/bilberrylink/kvledger"
)

// A reservation is a lease on an engine's memory. It ends when it is released, or when it is not renewed in time.
func ExampleLedger() {
	ledger := kvledger.New(kvledger.Options{})
	ledger.SetCapacity(100_000)
	fmt.Println(ledger.Reserve(context.Background(), "long", 80_000, time.Minute, 0))
	fmt.Println(ledger.Reserve(context.Background(), "other", 60_000, time.Minute, 0))
	ledger.Release("long")
	fmt.Println(ledger.Reserved())
	// Output:
	// <nil>
	// kvledger: no memory within the wait
	// 0
}
