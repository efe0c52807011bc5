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

@param later Runs once after a delay in milliseconds.
*/
export function coalesce(later: typeof schedule, milliseconds: number, run: () => void): () => void {
	let isWaiting = false;
	return () => {
		if (isWaiting) {
			return;
		}

		isWaiting = true;
		later(milliseconds, () => {
			isWaiting = false;
			run();
		});
	};
}

/**
Makes a repeating timer of one that runs once, for clocks that are not the system's.

@param later Runs once after a delay in milliseconds.
*/
export function createRepeat(later: typeof schedule): typeof repeat {
	return (milliseconds, run) => {
		let cancel: Teardown = () => undefined;
		const next = () => {
			cancel = later(milliseconds, () => {
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
