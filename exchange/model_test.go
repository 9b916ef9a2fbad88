package exchange

import "github.com/bilberrylink/bilberrylink/engine"

var engineModel = engine.Model{Slots: 16, MemoryTokens: 1 << 20, Stride: 50, StepMs: 1, ReadPerMs: 100, PairsMs: 0.1}
