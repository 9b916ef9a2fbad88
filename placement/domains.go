package placement

// Bytes that requests move between failure domains. Endpoints do not report them, so these are estimates.
const (
	// TextBytesPerToken is the mean length of a token in prompts and answers.
	TextBytesPerToken = 4
	// contextBytesPerToken is the size of the context that a part of a split prompt transfers to the primary endpoint.
	contextBytesPerToken = 256
)

// PartBytes returns the bytes that the primary endpoint exchanges with one that processes a part of a prompt.
func PartBytes(promptTokens, parts int) int {
	return promptTokens / max(parts, 1) * (TextBytesPerToken + contextBytesPerToken)
}
