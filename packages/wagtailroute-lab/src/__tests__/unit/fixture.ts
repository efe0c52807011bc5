/**
What scenarios of tests have in common.
*/

/**
Nine entry hosts and five control hosts in three failure domains.
*/
export const SITE = {
	failureDomains: ['a', 'b', 'c'],
	entryHostsPerDomain: 3,
	controlHosts: 5,
	nearMilliseconds: 0.2,
	farMilliseconds: 1.4,
} as const;

/**
A route whose requests may not be repeated.
*/
export const ROUTE = {
	requestClass: 'non-idempotent', priority: 1, worth: 1,
} as const;
