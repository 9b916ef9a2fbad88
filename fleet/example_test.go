package fleet_test

import (
	"fmt"

	"github.com/bilberrylink/bilberrylink/fleet"
)

const exampleText = `
settings: {failure_domains: [north, south, east]}
services:
  replies: {kind: model, model: large, fallbacks: [short-replies]}
  short-replies: {kind: model, model: small}
models:
  large: {version: "3", batch: spring, endpoints: ["model-{01..02}"]}
  small: {version: "1", batch: winter, endpoints: [model-03]}
batches:
  spring: {supplier: example}
  winter: {supplier: example}
recalled: [spring]
`

// A recalled batch moves its dependents to their fallback.
func ExampleSnapshot_Resolve() {
	snapshot, faults := fleet.NewSnapshot(7, []byte(exampleText))
	fmt.Println("faults:", len(faults))
	target, err := snapshot.Resolve("replies")
	fmt.Println(target.Service, target.Version.Model, target.Endpoints, err)
	// Output:
	// faults: 0
	// short-replies small [model-03] <nil>
}

// Every fault of a text is reported with its line.
func ExampleParse() {
	_, faults := fleet.Parse([]byte("services:\n  replies: {kind: model, model: absent}\n"))
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output:
	// line 2: service replies: unknown model "absent"
}
