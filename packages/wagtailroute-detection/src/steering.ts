/**
Steering of this host away from upstreams that it alone can't reach. It is a preference and not an ejection: the other hosts
still use the upstream, and this host does when no other upstream has room.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import * as findings from './findings.ts';
import type * as measurements from './measurement.ts';
import type * as operatingPoints from './operating-points.ts';
import type * as events from './events.ts';
import type * as states from './state.ts';
import * as symptoms from './symptoms.ts';

/**
Upstreams after the decision where to steer away, and the effects to carry out.
*/
export type SteeringChange = {
	readonly upstreams: ReadonlyMap<core.UpstreamId, states.TrackedUpstream>;
	readonly effects: readonly events.Effect[];
	/**
	Whether this host reaches so few upstreams that its own network must be at fault.
	*/
	readonly isSelfFault: boolean;
};

/**
Decides which upstreams this host steers away from.
*/
export function updateSteering(
	upstreams: ReadonlyMap<core.UpstreamId, states.TrackedUpstream>,
	{host, point, membership, now}: {
		readonly host: core.HostId;
		readonly point: operatingPoints.OperatingPoint;
		readonly membership: measurements.Measurement['membership'];
		readonly now: number;
	},
): SteeringChange {
	const next = new Map(upstreams);
	const unreachable: core.UpstreamId[] = [];
	for (const [id, tracked] of upstreams) {
		const isSuspected = tracked.phase.kind === 'serving' && findings.isPathFault(tracked, host, point, membership);
		const suspectedAt = isSuspected ? tracked.steering.suspectedAt ?? now : undefined;
		if (suspectedAt !== tracked.steering.suspectedAt) {
			next.set(id, {...tracked, steering: {...tracked.steering, suspectedAt}});
		}

		if (suspectedAt !== undefined && now - suspectedAt >= constants.STEERING_DELAY_MILLISECONDS) {
			unreachable.push(id);
		}
	}

	// When the host's own network is at fault, the host should leave the directory. Steering would only send all of its
	// requests to the few upstreams that it still reaches.
	const steered = next.values().filter(({steering}) => now < steering.until).map(({upstream}) => upstream.id);
	const avoided = [...new Set([...steered, ...unreachable])];
	const isSelfFault = avoided.length > 1 && avoided.length > upstreams.size * constants.SELF_FAULT_FRACTION;
	const effects: events.Effect[] = isSelfFault
		? [{kind: 'report-self', unreachable: avoided}]
		: unreachable.map(id => startSteering(next, id, now));
	return {upstreams: next, effects, isSelfFault};
}

function startSteering(
	upstreams: Map<core.UpstreamId, states.TrackedUpstream>,
	id: core.UpstreamId,
	now: number,
): events.Effect {
	const tracked = upstreams.get(id)!;
	const {steering} = tracked;
	const isConsecutive = now - steering.until < constants.MAX_STEERING_MILLISECONDS;
	const consecutiveCount = isConsecutive ? steering.consecutiveCount + 1 : 1;
	const durationMilliseconds = Math.min(constants.MAX_STEERING_MILLISECONDS, constants.INITIAL_STEERING_MILLISECONDS * (2 ** (consecutiveCount - 1)));
	const until = now + durationMilliseconds;
	upstreams.set(id, {
		...tracked,
		evidence: {...tracked.evidence, own: symptoms.EMPTY_EVIDENCE},
		steering: {suspectedAt: undefined, until, consecutiveCount},
	});
	return {
		kind: 'steer-away',
		upstream: id,
		until,
		cause: 'path',
	};
}
