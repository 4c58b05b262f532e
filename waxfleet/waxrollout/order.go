package waxrollout

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
)

// Order is an operator's order to move the traffic of a service to the servers of a software
// version. The zero value is no order.
type Order struct {
	service  string
	to       string
	duration waxfleet.Millis
	created  waxfleet.Revision
}

// NewOrder returns an order. created is the revision at which this process saw its object
// first, and again after it was deleted; changes of its status do not change it.
func NewOrder(service, to string, duration waxfleet.Millis, created waxfleet.Revision) Order {
	return Order{service: service, to: to, duration: duration, created: created}
}

// Service returns the name of the service.
func (o Order) Service() string { return o.service }

// To returns the software version that gets the traffic.
func (o Order) To() string { return o.to }

// Duration returns the time within which the order has to be completed.
func (o Order) Duration() waxfleet.Millis { return o.duration }

// Created returns the revision at which the object of the order was seen first.
func (o Order) Created() waxfleet.Revision { return o.created }

// Key returns the identity of the order for logs. Evidence is named by the key of the record's
// order, which all instances agree on.
func (o Order) Key() string {
	return fmt.Sprintf("%s/%s/%d@%s", o.service, o.to, o.duration, o.created)
}

// Exists reports whether o is an order, and not the zero value.
func (o Order) Exists() bool { return o != Order{} }

// Same reports whether both have the same service, version and duration. The store gives no
// creation revision that all instances agree on, so that an order that was withdrawn and given
// again is told by the record, which is closed when the object is gone, and by recreated.
func (o Order) Same(other Order) bool {
	return o.service == other.service && o.to == other.to && o.duration == other.duration
}

// recreated reports whether other is o, withdrawn and given again: one process has seen it
// begin at two revisions of one era. A restored store begins another era, in which the object
// of the same order may have another number.
func (o Order) recreated(other Order) bool {
	return o.Exists() && o.Same(other) && o.created.Era() == other.created.Era() &&
		o.created.Number() != other.created.Number()
}

// Validate returns an error that says why the order can't run, given the number of servers of
// each version of the service. known reports whether the configuration has the service.
func (o Order) Validate(known bool, servers map[string]int) error {
	switch {
	case o.service == "":
		return fmt.Errorf("rollout without service")
	case !known:
		return fmt.Errorf("unknown service %q", o.service)
	case o.to == "":
		return fmt.Errorf("rollout of service %q without version", o.service)
	case o.duration <= 0:
		return fmt.Errorf("rollout of service %q without duration", o.service)
	case servers[o.to] == 0:
		return fmt.Errorf("service %q has no server of version %q", o.service, o.to)
	}
	return nil
}
