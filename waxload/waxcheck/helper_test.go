package waxcheck

import "strconv"

func seedName(seed uint64) string { return "seed-" + strconv.FormatUint(seed, 10) }
