package pace

import "oxbowslip.dev/oxbowslip/internal/front/keys"

// Samples is a message to peers: the samples of the sender since its last message. Each message goes to some of the
// peers only.
type Samples struct {
	_ struct{} `cbor:",toarray"`

	Services []ServiceSamples
}

// ServiceSamples are the samples of the endpoints of a service.
type ServiceSamples struct {
	_ struct{} `cbor:",toarray"`

	Service   keys.Service
	Endpoints []EndpointSamples
}

// EndpointSamples are the samples of an endpoint.
type EndpointSamples struct {
	_ struct{} `cbor:",toarray"`

	Endpoint keys.Endpoint
	// Sum is the weighted sum of the logarithms of the ratios to the expected times, in 1/logUnits. Weight is the weight
	// of the samples, in 1/weightUnits.
	Sum    int
	Weight uint
}
