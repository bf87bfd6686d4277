// Package request holds the rules for one request on the host that owns it: when it may be
// sent, sent again, resumed or refused, and what the caller is told. Both programs use it
// through package owner. It does no input or output.
package request
