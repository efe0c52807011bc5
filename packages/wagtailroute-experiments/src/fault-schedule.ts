/**
A random schedule of faults, the same for the same seed.

At most one control host is out of service at a time, and the next fault of a control host waits until the last one has been
repaired: the promise is that a second host may be lost right after the first one's repair, not that two of three may.
*/
import * as utils from 'wagtailroute-utils';

/**
A kind of fault.

- `kill-control`, `kill-entry`: SIGKILL, started again after a moment.
- `wipe-control`: SIGKILL, and its data folder is emptied before it starts again.
- `fill-control-disk`: each write fails until it is killed and started again.
- `suspend-control`, `suspend-entry`: SIGSTOP, SIGCONT later.
- `restart-entry`: SIGTERM and a new start.
- `fill-entry-disk`: its log can't be written for a while.
- `gray-upstream`: a backend server shows a fault for a while.
- `crash-upstream`: a backend server ends without a word, and starts again.
- `drain-upstream`: a backend server drains, and starts again.
*/
export type FaultKind =
	| 'kill-control'
	| 'wipe-control'
	| 'fill-control-disk'
	| 'suspend-control'
	| 'kill-entry'
	| 'suspend-entry'
	| 'restart-entry'
	| 'fill-entry-disk'
	| 'gray-upstream'
	| 'crash-upstream'
	| 'drain-upstream';

/**
One fault. `index` is the place of the control host, entry host or backend server that it strikes.
*/
export type Fault = {
	readonly kind: FaultKind;
	readonly target: Target;
	readonly index: number;
	/**
	How long it lasts.
	*/
	readonly milliseconds: number;
	/**
	Pause before the next fault of the same kind of target.
	*/
	readonly pauseMilliseconds: number;
	/**
	Which of several variants, in [0, 1).
	*/
	readonly variant: number;
};

/**
What a fault strikes.
*/
export type Target = 'control' | 'entry' | 'upstream';

const KINDS: Readonly<Record<Target, readonly FaultKind[]>> = {
	control: ['kill-control', 'wipe-control', 'fill-control-disk', 'suspend-control'],
	entry: ['kill-entry', 'suspend-entry', 'restart-entry', 'fill-entry-disk'],
	upstream: ['gray-upstream', 'crash-upstream', 'drain-upstream'],
};

const SHORTEST_MILLISECONDS = 500;
const LONGEST_MILLISECONDS = 5000;
const LONGEST_PAUSE_MILLISECONDS = 3000;

/**
Returns a function that draws the next fault of a target.
*/
export function createFaultSource(target: Target, count: number, seed: number): () => Fault {
	const random = utils.createRandom(seed);
	const kinds = KINDS[target];
	return () => ({
		kind: kinds[utils.pickIndex(random, kinds.length)]!,
		target,
		index: utils.pickIndex(random, count),
		milliseconds: SHORTEST_MILLISECONDS + (random() * (LONGEST_MILLISECONDS - SHORTEST_MILLISECONDS)),
		pauseMilliseconds: random() * LONGEST_PAUSE_MILLISECONDS,
		variant: random(),
	});
}
