/**
How many more upstreams of a service may be ejected.
*/

/**
The least healthy upstreams of a service: a count, or a percentage (0 to 100) of those announced.
*/
export type HealthyFloor = {
	readonly kind: 'count' | 'percent';
	readonly value: number;
};

/**
Counts of a service's upstreams.
*/
export type UpstreamCounts = {
	readonly healthyFloor: HealthyFloor;
	/**
	Announced as serving, the ejected among them counted.
	*/
	readonly serving: number;
	readonly ejected: number;
	/**
	Announced as draining. They count towards what a percentage is of, but not as healthy.
	*/
	readonly draining: number;
};

/**
Returns how many upstreams must stay healthy. A part of an upstream counts as a whole one: 70% of 8 is 6.
*/
export function getRequiredHealthy({healthyFloor, serving, draining}: Omit<UpstreamCounts, 'ejected'>): number {
	return healthyFloor.kind === 'count'
		? healthyFloor.value
		: Math.ceil((serving + draining) * healthyFloor.value / 100);
}

/**
Returns how many further upstreams may be ejected, 0 when the floor is reached or already broken.
*/
export function getEjectionAllowance(counts: UpstreamCounts): number {
	const healthy = counts.serving - counts.ejected;
	return Math.max(0, Math.floor(healthy - getRequiredHealthy(counts)));
}
