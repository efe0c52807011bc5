/**
When a host that has just started begins to serve what came meanwhile: once it has a generation and links to all control hosts.

Refused before, callers would use up their few attempts, or come back long after the host serves: late is better. And before all
links are there, hosts would ask whichever control host they have: five dispatchers that know nothing of each other give each slot out
five times, and the crowd that comes back after a restart of everything queues at the upstreams for a second.
*/
import type * as proxy from 'wagtailroute-proxy';
import {MAX_FIRST_GENERATION_WAIT_MILLISECONDS, MAX_CONTROL_LINKS_WAIT_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Whether the host has begun, for its traffic server, and what may let it begin.
*/
export type StartupGate = proxy.RoutesPort & {
	/**
	A generation or a link has come.
	*/
	readonly check: () => void;
};

/**
What a beginning hangs on.
*/
export type StartupGateOptions = {
	readonly hasGeneration: () => boolean;
	/**
	There is a link to every control host that is known.
	*/
	readonly areControlLinksOpen: () => boolean;
};

/**
Creates the beginning of a host that has just started.
*/
export function createStartupGate(context: Pick<FleetContext, 'schedule'>, {hasGeneration, areControlLinksOpen}: StartupGateOptions): StartupGate {
	const opened = Promise.withResolvers<void>();
	let isOpen = false;
	let isWaitingForLinks = false;

	const open = () => {
		isOpen = true;
		opened.resolve();
	};

	return {
		areKnown: () => isOpen,
		async wait() {
			const {promise, resolve} = Promise.withResolvers<void>();
			const cancel = context.schedule(MAX_FIRST_GENERATION_WAIT_MILLISECONDS, resolve);
			await Promise.race([opened.promise, promise]);
			cancel();
		},
		check() {
			if (isOpen || !hasGeneration()) {
				return;
			}

			if (areControlLinksOpen()) {
				open();
			} else if (!isWaitingForLinks) {
				// One of them may be away.
				isWaitingForLinks = true;
				context.schedule(MAX_CONTROL_LINKS_WAIT_MILLISECONDS, open);
			}
		},
	};
}
