package change

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Bounds of an order, in bytes.
const (
	maxReasonBytes = 1000
	maxOrderBytes  = 4 << 20
)

// Order tells one controller's supervisor which spec the controller has to run with. Orders state the goal, not the
// steps to it, and may be repeated.
type Order struct {
	Format        int    `json:"format"`
	Fence         Fence  `json:"fence"`
	CoordinatorID string `json:"by"`     // tells apart two coordinators under one change and term
	Member        string `json:"member"` // the receiver, so that one that is reached by mistake notices
	Spec          Spec   `json:"want"`
	Drain         bool   `json:"drain,omitempty"` // leave service once every accepted job is answered
	Reason        string `json:"why,omitempty"`   // for the receiver's log; since format 2
}

// ForFormat returns the order in the form of a version, with its reason cut to the bound.
func (o Order) ForFormat(format int) Order {
	o.Format = format
	if format < firstFormatWithReason {
		o.Reason = ""
		return o
	}
	o.Reason = strings.ToValidUTF8(o.Reason[:min(len(o.Reason), maxReasonBytes)], "")
	return o
}

// ReadOrder reads and validates an order. An unknown field is an error: an order that is understood in part must not be
// followed. Errors start with the path of what is wrong.
func ReadOrder(from io.Reader) (Order, error) {
	text, err := io.ReadAll(io.LimitReader(from, maxOrderBytes+1))
	if err != nil {
		return Order{}, err
	}
	if len(text) > maxOrderBytes {
		return Order{}, fmt.Errorf("/: over %d bytes", maxOrderBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	var order Order
	if err := decoder.Decode(&order); err != nil {
		return Order{}, fmt.Errorf("/: %w", err)
	}
	if err := order.validate(); err != nil {
		return Order{}, err
	}
	return order, nil
}

func (o Order) validate() error {
	if err := o.validateForm(); err != nil {
		return err
	}
	switch {
	case o.Fence.Number < 1 || o.Fence.Term < 1 || o.Fence.Revision < 1:
		return fmt.Errorf("/fence: %v has a part under 1", o.Fence)
	case o.CoordinatorID == "" || o.Member == "":
		return errors.New("/by, /member: missing")
	case o.Spec.Program.Path == "" || o.Spec.Program.Digest == "":
		return errors.New("/want/program: missing")
	}
	return nil
}

// validateForm checks what depends on the version of the order's form.
func (o Order) validateForm() error {
	switch {
	case o.Format < oldestFormat || o.Format > Format:
		return fmt.Errorf("/format: %d, known are %d and the one before", o.Format, Format)
	case o.Format < firstFormatWithReason && o.Reason != "":
		return errors.New("/why: not of format 1")
	case len(o.Reason) > maxReasonBytes:
		return fmt.Errorf("/why: over %d bytes", maxReasonBytes)
	}
	return nil
}

// AcceptedOrder is what a supervisor stores of the last order that it accepted. The zero value is that of a
// supervisor that has accepted none.
type AcceptedOrder struct {
	Fence         Fence  `json:"fence"`
	CoordinatorID string `json:"by"`
	Spec          Spec   `json:"want"`
	Drain         bool   `json:"drain"`
}

// Accept decides on an order. It returns what is to be stored afterwards and whether that differs, or why the order is
// refused: one of the types StaleOrderError, ForeignOrderError, ConflictingOrderError.
func (a AcceptedOrder) Accept(order Order) (next AcceptedOrder, changed bool, err error) {
	position := order.Fence.Compare(a.Fence)
	sameTerm := order.Fence.Number == a.Fence.Number && order.Fence.Term == a.Fence.Term
	switch {
	case position < 0:
		return a, false, &StaleOrderError{Order: order.Fence, Accepted: a.Fence}
	case sameTerm && order.CoordinatorID != a.CoordinatorID:
		return a, false, &ForeignOrderError{
			Order:         order.Fence,
			CoordinatorID: order.CoordinatorID,
			AcceptedID:    a.CoordinatorID,
		}
	case position == 0 && (order.Spec.Digest() != a.Spec.Digest() || order.Drain != a.Drain):
		return a, false, &ConflictingOrderError{Order: order.Fence}
	case position == 0:
		return a, false, nil
	}
	accepted := AcceptedOrder{
		Fence:         order.Fence,
		CoordinatorID: order.CoordinatorID,
		Spec:          order.Spec,
		Drain:         order.Drain,
	}
	return accepted, true, nil
}

// StaleOrderError refuses an order that is below one accepted already.
type StaleOrderError struct {
	Order    Fence
	Accepted Fence
}

// Error names both fences.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %v comes after %v was taken", e.Order, e.Accepted)
}

// ForeignOrderError refuses an order of a second coordinator under the change and term of the first.
type ForeignOrderError struct {
	Order         Fence
	CoordinatorID string
	AcceptedID    string
}

// Error names the fence and both coordinators.
func (e *ForeignOrderError) Error() string {
	return fmt.Sprintf("order %v is by %s, and %s conducts under that term", e.Order, e.CoordinatorID, e.AcceptedID)
}

// ConflictingOrderError refuses an order with the fence of an accepted one, but with another goal.
type ConflictingOrderError struct {
	Order Fence
}

// Error names the fence.
func (e *ConflictingOrderError) Error() string {
	return fmt.Sprintf("order %v wants what an order of that name did not", e.Order)
}
