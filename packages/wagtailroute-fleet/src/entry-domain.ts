/**
In which failure domain a caller had best enter.

Its own, as a rule. But where every upstream of its own failure domain that takes its uploads is suspended, each upload would
cross to another failure domain behind the entry host. The caller is as near to that failure domain as to its own: it enters
there instead, and its large bodies go to an upstream next to its entry host.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';

/**
Returns the service that takes the uploads of each host name, by its first such route and the heaviest share of it. Names are in lower case; a
host without uploads is left out.
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
Chooses where a caller enters.

@param ownDomain The caller's failure domain.
@param upstreams Those of the service that takes its uploads.
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
