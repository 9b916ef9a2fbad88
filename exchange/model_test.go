package exchange

import "github.com/bilberrylink/bilberrylink/engine"

var engineModel = engine.TimingModel{Slots: 16, MemoryTokens: 1 << 20, TokensPerPass: 50, StepMs: 1, PrefillTokensPerMs: 100, AttentionMsPerMPairs: 0.1}
