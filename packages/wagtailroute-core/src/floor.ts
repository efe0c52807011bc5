/**
How many upstreams may be out of service at once. Rounds towards keeping: on a pool of 6 a floor of 70% keeps 5.

For the one place that grants ejections for a service as a whole. A host that decides alone must not use it to eject: two
hosts that each keep the floor in their own view can break it together.
*/

/**
Least number of upstreams that take work: a count, or a percentage (0 to 100) of those announced.
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
	Announced as serving and not ejected. Those that are ramping count.
	*/
	readonly serving: number;
	/**
	Announced as serving and ejected, on trial or not.
	*/
	readonly ejected: number;
	/**
	Announced as draining. They count towards what a percentage is of, but not as healthy: capacity that leaves must not
	lower the floor of what remains.
	*/
	readonly draining: number;
};

/**
Returns how many upstreams must stay healthy. A part of an upstream counts as a whole one. At least one stays whatever the
floor: no answer at all is worse than a bad one.
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
