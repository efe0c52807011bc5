/**
The services that an entry host has used since it started, for the credit of the retry budget.

A host brings the credit of a service once in its lifetime: a message with an earlier credit may still wait at a dispatcher that stands still. It brings
none before it has run for a window, since an earlier process of the same host may have used the service.
*/
import type * as core from 'wagtailroute-core';

/**
First uses of services by one host.
*/
export type FirstUses = {
	/**
	Records a slot request of a service. Returns whether it is the first one, and the host has run for long enough to bring credit.
	*/
	readonly recordUse: (service: core.ServiceName) => boolean;
};

/**
Creates the record of a host that starts now.

@param now Monotonic time in milliseconds.
@param windowMilliseconds Window of the retry budget.
*/
export function createFirstUses(now: () => number, windowMilliseconds: number): FirstUses {
	const startedAt = now();
	const used = new Set<core.ServiceName>();
	return {
		recordUse(service) {
			const isFirst = !used.has(service);
			used.add(service);
			return isFirst && now() - startedAt >= windowMilliseconds;
		},
	};
}
