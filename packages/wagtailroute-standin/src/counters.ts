/**
What a stand-in has done, counted so that a test can compare the runs with the outcomes that callers were told.
*/
import * as constants from './constants.ts';

/**
Events that are counted by number only.
*/
export type CountedEvent =
	| 'requests'
	| 'answered'
	| 'aborted'
	| 'shed'
	| 'failed'
	| 'reset'
	| 'truncated'
	| 'crashed'
	| 'expired'
	| 'startedWhileDraining';

/**
A copy of the counts. `runsById` and `runsByKey` give the number of executions of each `X-Request-Id` and each
`Idempotency-Key`.
*/
export type Counts = {
	readonly id: string;
	readonly service: string;
	readonly events: Readonly<Record<CountedEvent, number>>;
	readonly runs: number;
	readonly runsById: Readonly<Record<string, number>>;
	readonly runsByKey: Readonly<Record<string, number>>;
	/**
	Runs whose id or key was not counted because the tables were full.
	*/
	readonly uncounted: number;
	readonly inFlight: number;
	readonly mostInFlight: number;
	/**
	Time from the start of draining to the last request that began after it, or null.
	*/
	readonly lastWorkAfterDrainMilliseconds: number | null;
};

/**
Counters of one stand-in. They outlive a crash: a crash must not hide a run.
*/
export type Counters = {
	readonly count: (event: CountedEvent) => void;
	readonly countRun: (requestId: string | undefined, key: string | undefined) => void;
	readonly enter: () => void;
	readonly leave: () => void;
	readonly noteWorkAfterDrain: (milliseconds: number) => void;
	readonly getInFlight: () => number;
	readonly read: () => Counts;
	readonly clear: () => void;
};

/**
Creates counters at zero.
*/
export function createCounters(id: string, service: string): Counters {
	let events = createEvents();
	const runsById = new Map<string, number>();
	const runsByKey = new Map<string, number>();
	let runs = 0;
	let uncounted = 0;
	let inFlight = 0;
	let mostInFlight = 0;
	let lastWorkAfterDrainMilliseconds: number | null = null;

	function countName(table: Map<string, number>, name: string | undefined): void {
		if (name === undefined) {
			return;
		}

		const previous = table.get(name);
		if (previous === undefined && table.size >= constants.COUNTED_NAMES) {
			uncounted++;
			return;
		}

		table.set(name, (previous ?? 0) + 1);
	}

	return {
		count(event) {
			events[event]++;
		},
		countRun(requestId, key) {
			runs++;
			countName(runsById, requestId);
			countName(runsByKey, key);
		},
		enter() {
			inFlight++;
			mostInFlight = Math.max(mostInFlight, inFlight);
		},
		leave() {
			inFlight--;
		},
		noteWorkAfterDrain(milliseconds) {
			lastWorkAfterDrainMilliseconds = milliseconds;
		},
		getInFlight: () => inFlight,
		read: () => ({
			id,
			service,
			events: {...events},
			runs,
			runsById: Object.fromEntries(runsById),
			runsByKey: Object.fromEntries(runsByKey),
			uncounted,
			inFlight,
			mostInFlight,
			lastWorkAfterDrainMilliseconds,
		}),
		clear() {
			events = createEvents();
			runsById.clear();
			runsByKey.clear();
			runs = 0;
			uncounted = 0;
			mostInFlight = inFlight;
		},
	};
}

function createEvents(): Record<CountedEvent, number> {
	return {
		requests: 0,
		answered: 0,
		aborted: 0,
		shed: 0,
		failed: 0,
		reset: 0,
		truncated: 0,
		crashed: 0,
		expired: 0,
		startedWhileDraining: 0,
	};
}
