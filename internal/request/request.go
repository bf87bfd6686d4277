// Package request holds the rules for a request on the host that owns it: when it may be sent, sent again, resumed or
// refused, and what is reported to its caller. Both programs use it through package owner. It does no I/O.
package request
