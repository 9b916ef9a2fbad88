package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// vocabulary holds the words of generated answers. With 64 words, the chance that two different answers share their
// first ten tokens is 2^-60.
var vocabulary = strings.Fields(`air all bag bee box cap cow day dew dry ear egg elm eve fan fig fir fog gap gem hay hen
	hip ice ink ivy jam jar jug key kit lap leg lid log map mat mud net nut oak oat oil owl pan pea pen pie pin pot rag
	ram ray rib row rye sap saw sea sky tea tin toe yew`)

// AnswerToken returns token i of the deterministic answer to a prompt, which is the same whether or not the prompt is
// split across engines. The token depends on the model, its version, the adapter, its version, the prompt and i. Its text
// reveals neither the version nor the batch.
func AnswerToken(v endpoint.Version, prompt string, i int) string {
	return answerToken(v, xxhash.Sum64String(prompt), i)
}

// Answer returns the first n tokens of an answer, joined to one text.
func Answer(v endpoint.Version, prompt string, n int) string {
	promptHash := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(answerToken(v, promptHash, i))
	}
	return text.String()
}

func answerToken(v endpoint.Version, promptHash uint64, i int) string {
	buf := make([]byte, 0, 128)
	for _, s := range []string{v.Model, v.Version, v.Adapter, v.AdapterVersion} {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	buf = binary.LittleEndian.AppendUint64(buf, promptHash)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(i))
	word := vocabulary[xxhash.Sum64(buf)%uint64(len(vocabulary))]
	if i == 0 {
		return word
	}
	return " " + word
}
