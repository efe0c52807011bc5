/**
What hosts know of a service's upstreams, and what they agree on.
*/
import {getRequiredHealthy, type HealthyFloor, type UpstreamCounts} from './allowance.ts';

/**
The upstreams that a host knows: those with a live lease, ejected or not, by their announced state.
*/
export type UpstreamView = {
	readonly host: string;
	readonly serving: readonly string[];
	readonly draining: readonly string[];
	readonly healthyFloor: HealthyFloor;
};

/**
A view with the group time at which it was reported.
*/
export type ReportedView = UpstreamView & {readonly reportedAt: number};

/**
What the views agree on.
*/
export type AgreedUpstreams = {readonly serving: ReadonlySet<string>; readonly draining: ReadonlySet<string>};

/**
Returns what counts as serving and as draining.

A host with an old view counts upstreams that are gone, and would eject into the floor. So an upstream serves only if
most hosts list it, and drains if any host says so.
*/
export function getAgreedUpstreams(views: readonly UpstreamView[], asking?: UpstreamView): AgreedUpstreams {
	const draining = new Set(views.flatMap(view => view.draining));
	const votes = new Map<string, number>();
	for (const upstream of views.flatMap(view => [...new Set(view.serving)])) {
		votes.set(upstream, (votes.get(upstream) ?? 0) + 1);
	}

	const listed = asking === undefined ? undefined : new Set(asking.serving);
	const agreed = [...votes]
		.filter(([upstream, count]) => count * 2 > views.length && !draining.has(upstream))
		.map(([upstream]) => upstream)
		.filter(upstream => listed?.has(upstream) ?? true);
	return {serving: new Set(agreed), draining};
}

/**
Returns the strictest of the floors that hosts hold. One whose catalogue lags may hold a lower floor than the one in force.
*/
export function getStrictestFloor(
	views: readonly UpstreamView[],
	counts: Omit<UpstreamCounts, 'healthyFloor'>,
): HealthyFloor {
	const required = views.map(({healthyFloor}) => getRequiredHealthy({...counts, healthyFloor}));
	return {kind: 'count', value: Math.max(0, ...required)};
}
