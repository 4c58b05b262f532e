package waxengine

// Order kinds.
const (
	OrderLoadModel   = "load-model"
	OrderLoadAdapter = "load-adapter"
	OrderSetRole     = "set-role"
)

// Order is a command to the engine, the body of POST /orders. Fencing is its fencing
// token.
type Order struct {
	Kind     string `json:"kind"`
	Argument string `json:"argument"`
	Fencing  uint64 `json:"fencing"`
}

// Orders returns the orders that were executed, in their order of execution.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Order(nil), e.orders...)
}

// execute executes an order. It rejects the order and returns false if the engine checks
// fencing tokens and has seen a higher one.
func (e *Engine) execute(o Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.CheckFencing && o.Fencing < e.highestFencing {
		return false
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	e.orders = append(e.orders, o)
	if o.Kind == OrderLoadModel && len(e.models) > 0 {
		e.models[o.Argument] = struct{}{}
	}
	return true
}

// servesModel reports whether the engine serves the model. An engine without a list of
// models serves all.
func (e *Engine) servesModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.models[model]
	return ok || len(e.models) == 0
}
