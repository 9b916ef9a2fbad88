package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// vocabulary holds the words of answers. With 64 words, two different answers of ten tokens agree with a probability
// of 2^-60.
var vocabulary = strings.Fields(`air all bag bee box cap cow day dew dry ear egg elm eve fan fig fir fog gap gem hay hen
	hip ice ink ivy jam jar jug key kit lap leg lid log map mat mud net nut oak oat oil owl pan pea pen pie pin pot rag
	ram ray rib row rye sap saw sea sky tea tin toe yew`)

// AnswerToken returns token i of the answer that an engine gives to a prompt, split over engines or not. It depends on
// model, version, adapter, its version, prompt and i, and names neither the version nor its batch.
func AnswerToken(v endpoint.Version, prompt string, i int) string {
	return answerToken(v, xxhash.Sum64String(prompt), i)
}

// Answer returns the first n tokens of an answer as one text.
func Answer(v endpoint.Version, prompt string, n int) string {
	sum := xxhash.Sum64String(prompt)
	var text strings.Builder
	for i := range n {
		text.WriteString(answerToken(v, sum, i))
	}
	return text.String()
}

func answerToken(v endpoint.Version, promptSum uint64, i int) string {
	buf := make([]byte, 0, 128)
	for _, s := range []string{v.Model, v.Version, v.Adapter, v.AdapterVersion} {
		buf = append(buf, s...)
		buf = append(buf, 0)
	}
	buf = binary.LittleEndian.AppendUint64(buf, promptSum)
	buf = binary.LittleEndian.AppendUint64(buf, uint64(i))
	word := vocabulary[xxhash.Sum64(buf)%uint64(len(vocabulary))]
	if i == 0 {
		return word
	}
	return " " + word
}
