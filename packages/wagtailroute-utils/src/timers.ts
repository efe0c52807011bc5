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
