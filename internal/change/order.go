package change

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Limits of an order, in bytes.
const (
	maxReasonBytes = 1000
	maxOrderBytes  = 4 << 20
)

// Order tells one controller's supervisor which spec the controller has to run with. An order states the desired state,
// not the steps to reach it, and may be repeated.
type Order struct {
	Format        int    `json:"format"`
	Fence         Fence  `json:"fence"`
	CoordinatorID string `json:"by"`     // distinguishes two coordinators with the same change and term
	Member        string `json:"member"` // the recipient, which refuses an order for another member
	Spec          Spec   `json:"want"`
	Drain         bool   `json:"drain,omitempty"` // leave service once every accepted job is answered
	Reason        string `json:"why,omitempty"`   // for the recipient's log; since format 2
}

// ForFormat returns the order in a format version, with its reason truncated to maxReasonBytes.
func (o Order) ForFormat(format int) Order {
	o.Format = format
	if format < firstFormatWithReason {
		o.Reason = ""
		return o
	}
	o.Reason = strings.ToValidUTF8(o.Reason[:min(len(o.Reason), maxReasonBytes)], "")
	return o
}

// ReadOrder reads and validates an order. An unknown field is an error, as an order must not be followed in part.
// Errors start with the path of the invalid field.
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

// validateForm checks what depends on the order's format version.
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

// AcceptedOrder is what a supervisor stores of the last order that it accepted. The zero value stands for a supervisor
// that has not accepted any.
type AcceptedOrder struct {
	Fence         Fence  `json:"fence"`
	CoordinatorID string `json:"by"`
	Spec          Spec   `json:"want"`
	Drain         bool   `json:"drain"`
}

// Accept accepts or refuses an order. It returns the value to be stored and whether that has changed, or the reason for
// the refusal: a *StaleOrderError, *ForeignOrderError or *ConflictingOrderError.
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

// StaleOrderError is returned for an order with a lower fence than that of the accepted one.
type StaleOrderError struct {
	Order    Fence
	Accepted Fence
}

// Error returns a message with both fences.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %v comes after %v was taken", e.Order, e.Accepted)
}

// ForeignOrderError is returned for an order of a second coordinator with the change and term of the first.
type ForeignOrderError struct {
	Order         Fence
	CoordinatorID string
	AcceptedID    string
}

// Error returns a message with both coordinators.
func (e *ForeignOrderError) Error() string {
	return fmt.Sprintf("order %v is by %s, and %s conducts under that term", e.Order, e.CoordinatorID, e.AcceptedID)
}

// ConflictingOrderError is returned for an order with the fence of the accepted one, but with different contents.
type ConflictingOrderError struct {
	Order Fence
}

// Error returns a message with the fence.
func (e *ConflictingOrderError) Error() string {
	return fmt.Sprintf("order %v wants what an order of that name did not", e.Order)
}
