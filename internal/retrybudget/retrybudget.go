// Package retrybudget bounds how many retries are sent in relation to first tries, so that
// retries can't multiply an overload. It has both rules, which implement owner.Budget, and
// does no input or output.
//
// Fleet is the rule of oxbowslip-front: the users bound the retries of all hosts together
// at each service over a sliding window, and each host takes its part. Class is the rule
// of oxbowslipd: operators set a fraction of first tries for each class, on each host.
package retrybudget
