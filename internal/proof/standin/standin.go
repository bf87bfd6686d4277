// Package standin serves the outside systems that oxbowslipd works with, over their published
// protocols: model engines, plain services and the platform's table service. It is for tests,
// the demonstration and cmd/oxbowslip-standin. The stand-ins of the users' platform are in
// platform/proof/standin, since only that folder may know its names.
package standin
