package waxfleet

import (
	"fmt"
	"log/slog"
)

// eraShift is the position of the era in a Revision. It leaves room for a trillion changes
// in each era.
const eraShift = 40

// Revision orders the states of the store. It rises with each change, also when the store is
// restored from an older copy and gives its own numbers out again: a new era then begins.
type Revision uint64

// NewRevision returns the revision with a number that the store gave out in an era.
func NewRevision(era, number uint64) Revision {
	return Revision(era<<eraShift | number&(1<<eraShift-1))
}

// Era returns the number of times that the store was restored.
func (r Revision) Era() uint64 { return uint64(r >> eraShift) }

// Number returns the number that the store gave out.
func (r Revision) Number() uint64 { return uint64(r) & (1<<eraShift - 1) }

// String returns the era and the number, separated by a dot.
func (r Revision) String() string { return fmt.Sprintf("%d.%d", r.Era(), r.Number()) }

// LogValue implements slog.LogValuer.
func (r Revision) LogValue() slog.Value { return slog.StringValue(r.String()) }
