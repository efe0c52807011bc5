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
	Announced as serving and not ejected.
	*/
	readonly serving: number;
	/**
	Announced as serving and ejected.
	*/
	readonly ejected: number;
	/**
	Announced as draining. They count towards what a percentage is of, but not as healthy.
	*/
	readonly draining: number;
};

/**
Returns how many upstreams must stay healthy. A part of an upstream counts as a whole one: 70% of 8 is 6. At least one
stays whatever the floor: no answer at all is worse than a bad one.
*/
export function getRequiredHealthy({healthyFloor, serving, ejected, draining}: UpstreamCounts): number {
	const {kind, value} = healthyFloor;
	const required = kind === 'count' ? value : (serving + ejected + draining) * value / 100;
	return Math.max(1, Math.ceil(required));
}

/**
Returns how many further upstreams may be ejected, 0 when the floor is reached or already broken.
*/
export function getEjectionAllowance(counts: UpstreamCounts): number {
	return Math.max(0, counts.serving - getRequiredHealthy(counts));
}
