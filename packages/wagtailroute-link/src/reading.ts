/**
Timers that run after the event loop has read what had arrived when they expired.

A process that gets no processor time for a while, or is paused, runs its expired timers first when it goes on. A timeout that was decided then would ignore an answer that
arrived long before, and this host would count others as unresponsive because it was.
*/
import type * as utils from 'wagtailroute-utils';

/**
Runs once after a delay in milliseconds and one reading of the connections, unless it is torn down before.
*/
export function scheduleAfterReading(milliseconds: number, run: () => void): utils.Teardown {
	let immediate: NodeJS.Immediate | undefined;
	const timer = setTimeout(() => {
		// Immediates run after the loop has polled its connections.
		immediate = setImmediate(run);
	}, milliseconds);
	return () => {
		clearTimeout(timer);
		clearImmediate(immediate);
	};
}
