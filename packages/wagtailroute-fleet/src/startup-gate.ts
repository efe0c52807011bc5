/**
Holds the requests that arrive at a host that has just started, until it has a catalogue generation and links to all control hosts.

Requests are held and not refused: refused callers use up their few attempts, or come back long after the host is ready. The host waits for all links
because hosts with a part of them use different dispatchers: five that do not know of each other grant each slot five times, and after a
restart of the whole fleet the returning requests queue at the upstreams for a second.
*/
import type * as proxy from 'wagtailroute-proxy';
import {MAX_CONTROL_LINKS_WAIT_MILLISECONDS, MAX_FIRST_GENERATION_WAIT_MILLISECONDS} from './constants.ts';
import type {FleetContext} from './context.ts';

/**
Reports to the traffic server whether the host serves requests, and holds requests until it does.
*/
export type StartupGate = proxy.RoutesPort & {
	/**
	Opens the gate if its conditions hold. Called after a generation was received or a link was opened.
	*/
	readonly check: () => void;
};

/**
The conditions under which a gate opens.
*/
export type StartupGateOptions = {
	readonly hasGeneration: () => boolean;
	/**
	Returns whether there is an open link to every known control host.
	*/
	readonly areControlLinksOpen: () => boolean;
};

/**
Creates a closed gate.
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
				// One of the control hosts may be down, so this wait is bounded.
				isWaitingForLinks = true;
				context.schedule(MAX_CONTROL_LINKS_WAIT_MILLISECONDS, open);
			}
		},
	};
}
