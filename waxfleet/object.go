package waxfleet

// Object kinds in the platform's Object API.
const (
	ObjectKindLease         = "lease"
	ObjectKindAssignment    = "assignment"
	ObjectKindConfig        = "config"
	ObjectKindConfigSection = "config-section"
	ObjectKindClaim         = "claim"
	ObjectKindOrder         = "order"
)

// MaxObjectBytes is the maximum size of a value in the Object API.
const MaxObjectBytes = 1 << 20

// Object is a versioned value in the Object API.
type Object struct {
	kind    string
	name    string
	value   []byte
	version uint64
}

// NewObject returns an object. Each update of an object increases its version.
func NewObject(kind, name string, value []byte, version uint64) Object {
	return Object{kind: kind, name: name, value: value, version: version}
}

// Kind returns the object kind, such as ObjectKindLease.
func (o Object) Kind() string { return o.kind }

// Name returns the name, which is unique within the kind.
func (o Object) Name() string { return o.name }

// Value returns the value. Callers must not modify it.
func (o Object) Value() []byte { return o.value }

// Version returns the version that conditional updates are checked against.
func (o Object) Version() uint64 { return o.version }
