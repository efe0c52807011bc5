/**
Timers that hand out their teardown.
*/
import type {Teardown} from './teardown.ts';

/**
Runs once after a delay in milliseconds, unless it is torn down before.
*/
export function schedule(milliseconds: number, run: () => void): Teardown {
	const timer = setTimeout(run, milliseconds);
	return () => {
		clearTimeout(timer);
	};
}

/**
Runs once after a delay in milliseconds and one reading of the connections, unless it is torn down before.

A process that gets no processor time for a while, or is paused, runs its expired timers first when it goes on. A timeout that was decided then would ignore an answer that
arrived long before, and this host would count others as unresponsive because it was.
*/
export function scheduleAfterReading(milliseconds: number, run: () => void): Teardown {
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

/**
Runs every so many milliseconds until it is torn down.
*/
export function repeat(milliseconds: number, run: () => void): Teardown {
	const timer = setInterval(run, milliseconds);
	return () => {
		clearInterval(timer);
	};
}

/**
Runs some time after it was first asked for, once for all that asked until then.

@param scheduleOnce Runs once after a delay in milliseconds.
*/
export function coalesce(scheduleOnce: typeof schedule, milliseconds: number, run: () => void): () => void {
	let isScheduled = false;
	return () => {
		if (isScheduled) {
			return;
		}

		isScheduled = true;
		scheduleOnce(milliseconds, () => {
			isScheduled = false;
			run();
		});
	};
}

/**
Makes a repeating timer of one that runs once, for clocks that are not the system's.

@param scheduleOnce Runs once after a delay in milliseconds.
*/
export function createRepeat(scheduleOnce: typeof schedule): typeof repeat {
	return (milliseconds, run) => {
		let cancel: Teardown = () => undefined;
		const next = () => {
			cancel = scheduleOnce(milliseconds, () => {
				next();
				run();
			});
		};

		next();
		return () => {
			cancel();
		};
	};
}
