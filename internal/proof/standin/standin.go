// Package standin provides stand-ins for the external systems that oxbowslipd uses: model engines, plain services and
// the platform's table service. They serve the published protocols and can inject faults. Tests, the demonstration and
// cmd/oxbowslip-standin use them.
//
// The stand-ins for the users' platform are in platform/proof/standin, since names of that platform are allowed only in
// folder platform.
package standin
