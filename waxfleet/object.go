package waxfleet

// Kinds of objects in the platform's Object API.
const (
	ObjectKindLease         = "lease"
	ObjectKindAssignment    = "assignment"
	ObjectKindConfig        = "config"
	ObjectKindConfigSection = "config-section"
	ObjectKindClaim         = "claim"
	ObjectKindOrder         = "order"
)

// MaxObjectBytes is the largest value that the Object API holds.
const MaxObjectBytes = 1 << 20

// Object is one versioned value of the Object API.
type Object struct {
	kind    string
	name    string
	value   []byte
	version uint64
}

// NewObject returns an object. Versions grow with each update of a name.
func NewObject(kind, name string, value []byte, version uint64) Object {
	return Object{kind: kind, name: name, value: value, version: version}
}

// Kind returns the kind.
func (o Object) Kind() string { return o.kind }

// Name returns the name that is unique within the kind.
func (o Object) Name() string { return o.name }

// Value returns the value; callers do not change it.
func (o Object) Value() []byte { return o.value }

// Version returns the version that conditional updates compare.
func (o Object) Version() uint64 { return o.version }
