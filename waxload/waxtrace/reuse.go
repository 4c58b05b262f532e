package waxtrace

// ReusableTokens returns, for each record, the number of prompt tokens that an
// infinite prefix cache would hold at its arrival. These are the tokens of the leading
// blocks that occur in earlier records. Their sum is the denominator of cache reuse.
func ReusableTokens(records []Record) []int {
	seen := map[uint64]bool{}
	tokens := make([]int, len(records))
	for i, r := range records {
		blocks := 0
		for blocks < len(r.HashIDs) && seen[r.HashIDs[blocks]] {
			blocks++
		}
		tokens[i] = r.PrefixTokens(blocks)
		for _, id := range r.HashIDs {
			seen[id] = true
		}
	}
	return tokens
}

// MeanLiveBlocks returns the number of prompt blocks of live chats, averaged over
// the duration of the trace. A chat is live from its first to its last record.
func MeanLiveBlocks(records []Record) float64 {
	if len(records) == 0 {
		return 0
	}
	duration := records[len(records)-1].Timestamp - records[0].Timestamp
	if duration <= 0 {
		return 0
	}
	previous := map[string]Record{}
	blockMillis := 0.0
	for _, r := range records {
		if r.AtMostOnce {
			continue
		}
		if p, ok := previous[r.Chat]; ok {
			blockMillis += float64(len(p.HashIDs)) * float64(r.Timestamp-p.Timestamp)
		}
		previous[r.Chat] = r
	}
	return blockMillis / float64(duration)
}
