/**
How many upstreams may be out of service at once. Rounds towards keeping: on a pool of 6 a floor of 70% keeps 5.

Both functions are pure, for the one place that grants ejections for the service as a whole. A host that decides alone
must not use them to eject: two hosts that each keep the floor in their own view can break it together.
*/

/**
Least number of upstreams that take work: a count, or a percentage of the upstreams that are not leaving.
*/
export type HealthyFloor = {
	readonly kind: 'count' | 'percent';
	readonly value: number;
};

/**
Upstreams of a service as the grantor knows them.
*/
export type Population = {
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
	Announced as draining: they take no work, so they are no part of the healthy capacity.
	*/
	readonly draining: number;
};

const FLOORS: Readonly<Record<HealthyFloor['kind'], (value: number, total: number) => number>> = {
	count: value => Math.ceil(value),
	percent: (value, total) => Math.ceil((total * value) / 100),
};

/**
Least number of upstreams that must stay in service. Draining upstreams count in the total: capacity that leaves must not
lower the floor of what remains.
*/
export function getRequiredUpstreams({healthyFloor, serving, ejected, draining}: Population): number {
	const required = FLOORS[healthyFloor.kind](healthyFloor.value, serving + ejected + draining);
	// The last upstream is never ejected, whatever the floor says: no answer at all is worse than a bad one.
	return Math.max(1, required);
}

/**
Returns how many more upstreams may be ejected now; 0 when the floor is reached or already broken.
*/
export function getEjectionAllowance(population: Population): number {
	return Math.max(0, population.serving - getRequiredUpstreams(population));
}

/**
Whether one more ejection may be granted.
*/
export function isGrantAllowed(population: Population): boolean {
	return getEjectionAllowance(population) >= 1;
}
