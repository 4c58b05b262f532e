package waxengine

// Kinds of orders.
const (
	OrderLoadModel   = "load-model"
	OrderLoadAdapter = "load-adapter"
	OrderSetRole     = "set-role"
)

// Order is an order that the engine carried out.
type Order struct {
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
	Fencing  uint64 `json:"fencing"`
}

// Orders returns the orders that were carried out, in their order.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// carryOut reports whether the order was carried out. An engine that checks the
// fencing number refuses one below the highest that it has seen.
func (e *Engine) carryOut(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFencing && o.Fencing < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, o.Fencing)
	e.orders = append(e.orders, o)
	if o.Kind == OrderLoadModel && len(e.models) > 0 {
		e.models[o.Argument] = struct{}{}
	}
	return true
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.models[model]
	return ok || len(e.models) == 0
}
