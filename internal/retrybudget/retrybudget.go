// Package retrybudget bounds the number of retries in relation to first tries, so that retries can't multiply an
// overload. It provides two implementations of owner.Budget and does no I/O.
//
// Fleet, for oxbowslip-front, bounds the retries of all hosts together at each service over a sliding window, also while
// hosts restart; each host uses its share. Class, for oxbowslipd, bounds the retries of each class on each host to a fraction of its first
// tries, which operators configure.
package retrybudget
