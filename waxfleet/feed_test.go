package waxfleet

import (
	"testing"

	"github.com/matryer/is"
)

// TestBatchWith guards against a list that misses the changes since its revision, brings
// back what was deleted, or takes an older change for a newer one.
func TestBatchWith(t *testing.T) {
	is := is.New(t)
	list := Batch[string]{Full: true, Revision: 5, Lag: 7, Records: []Record[string]{
		{Name: "a", Revision: 2, Value: "a2"}, {Name: "b", Revision: 3, Value: "b3"}, {Name: "c", Revision: 8, Value: "c8"},
	}}
	merged := list.With(Batch[string]{Revision: 9, Records: []Record[string]{
		{Name: "b", Revision: 6, Deleted: true},
		{Name: "c", Revision: 7, Value: "c7"}, // a later page of the list was newer
		{Name: "d", Revision: 8, Value: "d8"},
		{Name: "a", Revision: 9, Value: "a9"},
		{Name: "e", Revision: 9, Deleted: true},
	}})
	is.Equal(merged.Revision, Revision(9))
	is.Equal(merged.Lag, Millis(7))
	is.True(merged.Full)
	values := map[string]string{}
	for _, r := range merged.Records {
		values[r.Name] = r.Value
	}
	is.Equal(values, map[string]string{"a": "a9", "c": "c8", "d": "d8"})
	is.Equal(len(list.Records), 3) // unchanged
	is.Equal(list.Records[0].Value, "a2")

	full := Batch[string]{Full: true, Revision: 11}
	is.Equal(list.With(full).Revision, Revision(11))
	is.Equal(len(list.With(full).Records), 0)
}
