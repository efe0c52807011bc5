/**
Views that hosts report of a service's upstreams, and the view that most of them agree on.
*/
import {getRequiredHealthy, type HealthyFloor, type UpstreamCounts} from './allowance.ts';

/**
The upstreams that a host knows, by announced state: those with a valid lease, ejected or not.
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
Upstreams that count as serving or draining.
*/
export type AgreedUpstreams = {readonly serving: ReadonlySet<string>; readonly draining: ReadonlySet<string>};

/**
Returns the upstreams that count as serving and as draining.

A host with an outdated view counts upstreams that have left, and would eject below the healthy floor. Therefore an
upstream counts as serving only if more than half of the hosts list it, and as draining if any host lists it as such. With
`requester`, only upstreams that this view lists count as serving.
*/
export function getAgreedUpstreams(views: readonly UpstreamView[], requester?: UpstreamView): AgreedUpstreams {
	const draining = new Set(views.flatMap(view => view.draining));
	const votes = new Map<string, number>();
	for (const upstream of views.flatMap(view => [...new Set(view.serving)])) {
		votes.set(upstream, (votes.get(upstream) ?? 0) + 1);
	}

	const listed = requester === undefined ? undefined : new Set(requester.serving);
	const agreed = [...votes]
		.filter(([upstream, count]) => count * 2 > views.length && !draining.has(upstream))
		.map(([upstream]) => upstream)
		.filter(upstream => listed?.has(upstream) ?? true);
	return {serving: new Set(agreed), draining};
}

/**
Returns the strictest of the hosts' healthy floors: a host whose catalogue lags may hold a lower floor than the one in force.
*/
export function getStrictestFloor(
	views: readonly UpstreamView[],
	counts: Omit<UpstreamCounts, 'healthyFloor'>,
): HealthyFloor {
	const required = views.map(({healthyFloor}) => getRequiredHealthy({...counts, healthyFloor}));
	return {kind: 'count', value: Math.max(0, ...required)};
}
