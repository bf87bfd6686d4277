package shares

import "oxbowslip.dev/oxbowslip/internal/front/keys"

// Counts is a message to peers: the work that the sender's callers have asked for since its last message, at services
// that refuse too much of it, and the sender's use of the limits that the settings name.
type Counts struct {
	_ struct{} `cbor:",toarray"`

	Services []ServiceCounts
	// Limits are the sender's largest uses of limits, maxPerMessage at most; they replace those of its last message.
	Limits []LimitUse
}

// ServiceCounts is the work at one service since the sender's last message, in units of workUnit.
type ServiceCounts struct {
	_ struct{} `cbor:",toarray"`

	Service keys.Service
	// Asked is the work of all requests, Granted that of those that got an endpoint, and OverShare that of those that were
	// refused because their workspace was over its share.
	Asked     uint64
	Granted   uint64
	OverShare uint64
	// Work is the work asked for by the workspace at the same index of Workspaces. Weights are in hundredths, and empty
	// if all are 1; Tiers are empty if all are 0.
	Workspaces []keys.Workspace
	Work       []uint64
	Weights    []uint64
	Tiers      []uint64
}

// LimitUse is how much of its limits for a class a workspace uses through the sender.
type LimitUse struct {
	_ struct{} `cbor:",toarray"`

	Workspace keys.Workspace
	Class     keys.Class
	// Open and Waiting are numbers of requests.
	Open    uint64
	Waiting uint64
	// Tokens is the number of answer tokens granted, with an exponentially decaying weight.
	Tokens uint64
}
