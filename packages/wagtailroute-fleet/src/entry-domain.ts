/**
Chooses the failure domain whose entry hosts a caller uses.

Normally this is the caller's own failure domain. But if every upstream of it that receives the caller's uploads is suspended, each upload would
cross to another failure domain behind the entry host. The distance from the caller to that failure domain is about the same as to its own, so it enters
there instead, and its large bodies go to an upstream in the failure domain of its entry host.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';

/**
Returns the service that receives the uploads of each host name: the one with the largest share of its first upload route. Names are in lower case; a
host name without upload routes is left out.
*/
export function listUploadServices({routes}: generations.Generation): ReadonlyMap<string, core.ServiceName> {
	const services = new Map<string, core.ServiceName>();
	for (const route of routes) {
		const host = route.host.toLowerCase();
		if (route.class !== 'upload' || services.has(host)) {
			continue;
		}

		const heaviest = route.shares.toSorted((left, right) => right.weight - left.weight)[0]!;
		services.set(host, heaviest.service);
	}

	return services;
}

/**
Returns the failure domain where a caller enters.

@param ownDomain The caller's failure domain.
@param upstreams Upstreams of the service that receives its uploads.
*/
export function chooseEntryDomain(ownDomain: core.FailureDomain, upstreams: readonly dispatch.UpstreamReport[]): core.FailureDomain {
	const slots = countUsableSlots(upstreams);
	if (slots.has(ownDomain)) {
		return ownDomain;
	}

	let best = ownDomain;
	let maxSlots = 0;
	for (const [failureDomain, count] of slots) {
		best = count > maxSlots ? failureDomain : best;
		maxSlots = Math.max(maxSlots, count);
	}

	return best;
}

function countUsableSlots(upstreams: readonly dispatch.UpstreamReport[]): ReadonlyMap<core.FailureDomain, number> {
	const slots = new Map<core.FailureDomain, number>();
	for (const {failureDomain, isSuspended, isDraining, slots: count} of upstreams) {
		if (!isSuspended && !isDraining) {
			slots.set(failureDomain, (slots.get(failureDomain) ?? 0) + count);
		}
	}

	return slots;
}
