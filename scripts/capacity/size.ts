/**
The size to design for and the budget, as the users gave them (developers' page, "Where we want this to go").
*/
export const SIZE = {
	hosts: 2400,
	upstreams: 140_000,
	services: 6900,
	requestsPerSecond: 3_000_000,
	routes: 46_000,
	organisations: 1_400_000,
	failureDomains: 35,
	regions: 9,
	changesPerDay: 15_000,
	burstOfChanges: 500,
	restartsPerDay: 37_000,
	controlHosts: 28,
	// Assumed by this project, not given: the share of requests with an idempotency key.
	keyedShare: 0.01,
} as const;

/**
What control may cost one host, and the users' bounds of time.
*/
export const BUDGET = {
	core: 0.012,
	memoryBytes: 64e6,
	bytesPerSecond: 5000,
	controlHosts: 28,
	inForceMilliseconds: 4000,
	addedP99Milliseconds: 5.6,
} as const;

/**
Seconds in a day.
*/
export const DAY_SECONDS = 86_400;
