/**
When a host that has just started begins to serve what came meanwhile: once it has a generation and links to all control hosts.

Refused before, callers would use up their few attempts, or come back long after the host serves: late is better. And before all
links are there, hosts would ask whichever control host they have: five dispatchers that know nothing of each other give each slot out
five times, and the crowd that comes back after a restart of everything queues at the upstreams for a second.
*/
import type * as proxy from 'wagtailroute-proxy';
import {FIRST_GENERATION_MILLISECONDS, LINKING_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Whether the host has begun, for its traffic server, and what may let it begin.
*/
export type Beginning = proxy.RoutesPort & {
	/**
	A generation or a link has come.
	*/
	readonly look: () => void;
};

/**
What a beginning hangs on.
*/
export type BeginningPlan = {
	readonly hasGeneration: () => boolean;
	/**
	There is a link to every control host that is known.
	*/
	readonly isLinked: () => boolean;
};

/**
Creates the beginning of a host that has just started.
*/
export function createBeginning(context: Pick<FleetContext, 'schedule'>, {hasGeneration, isLinked}: BeginningPlan): Beginning {
	const begun = Promise.withResolvers<void>();
	let hasBegun = false;
	let isLinking = false;

	const begin = () => {
		hasBegun = true;
		begun.resolve();
	};

	return {
		areKnown: () => hasBegun,
		async wait() {
			const {promise, resolve} = Promise.withResolvers<void>();
			const cancel = context.schedule(FIRST_GENERATION_MILLISECONDS, resolve);
			await Promise.race([begun.promise, promise]);
			cancel();
		},
		look() {
			if (hasBegun || !hasGeneration()) {
				return;
			}

			if (isLinked()) {
				begin();
			} else if (!isLinking) {
				// One of them may be away.
				isLinking = true;
				context.schedule(LINKING_MILLISECONDS, begin);
			}
		},
	};
}
