package waxtrace

// Unlimited returns, for each record, the prompt tokens that a cache without
// limit would hold at its arrival: the leading blocks that an earlier record
// has. Their sum is the denominator of cache reuse.
func Unlimited(records []Record) []int {
	seen := map[uint64]bool{}
	tokens := make([]int, len(records))
	for i, r := range records {
		found := 0
		for found < len(r.HashIDs) && seen[r.HashIDs[found]] {
			found++
		}
		tokens[i] = r.PrefixTokens(found)
		for _, id := range r.HashIDs {
			seen[id] = true
		}
	}
	return tokens
}

// LiveBlocks returns the mean number of blocks held by live chats, over the
// time of the trace. A chat is live from its first to its last record.
func LiveBlocks(records []Record) float64 {
	if len(records) == 0 {
		return 0
	}
	span := records[len(records)-1].Timestamp - records[0].Timestamp
	if span <= 0 {
		return 0
	}
	previous := map[string]Record{}
	held := 0.0
	for _, r := range records {
		if r.Once {
			continue
		}
		if p, ok := previous[r.Chat]; ok {
			held += float64(len(p.HashIDs)) * float64(r.Timestamp-p.Timestamp)
		}
		previous[r.Chat] = r
	}
	return held / float64(span)
}
