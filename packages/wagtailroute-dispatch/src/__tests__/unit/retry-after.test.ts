/**
Measures what callers gain from Retry-After: replays with callers that return when they were told, at once, and after a fixed time.
*/
import test from 'ava';
import {
	type Kind,
	type Load,
	ORDERS,
	type Outcomes,
	OVERLOADS,
	replay,
	sum,
	UPSTREAM_FAULTS,
} from './replay.ts';

/**
Round trip between a caller and its entry host: a caller that returns at once arrives this much later.
*/
const ROUND_TRIP_MILLISECONDS = 16;
const PEAK_MILLISECONDS = 50;

const CALLERS = {
	told: (retryAfterMilliseconds: number) => retryAfterMilliseconds,
	'at once': () => ROUND_TRIP_MILLISECONDS,
	'after 100 ms': () => 100,
} as const satisfies Record<string, (retryAfterMilliseconds: number) => number>;
type Caller = keyof typeof CALLERS;
const CALLER_NAMES = Object.keys(CALLERS) as Caller[];

type Measurement = {
	readonly outcomes: Outcomes;
	/**
	Times at which callers returned.
	*/
	readonly returns: readonly number[];
};

function measure(load: Load, getReturnDelay: (retryAfterMilliseconds: number, kind: string) => number): Measurement {
	const returns: number[] = [];
	const outcomes = replay(load, {
		settings: ORDERS.priority,
		seed: 1,
		getReturnDelay,
		observer: {
			receive({waitedMilliseconds}, now) {
				if (waitedMilliseconds > 0) {
					returns.push(now);
				}
			},
		},
	});
	return {outcomes, returns};
}

/**
Divides each kind of request among the kinds of callers.
*/
function mix(load: Load): Load {
	const split = ([name, kind]: readonly [string, Kind]) => CALLER_NAMES.map((caller): [string, Kind] =>
		[`${name} ${caller}`, {...kind, getLoad: at => kind.getLoad(at) / CALLER_NAMES.length}]);
	return {...load, kinds: Object.fromEntries(Object.entries(load.kinds).flatMap(entry => split(entry)))};
}

function countPeak(times: readonly number[]): number {
	let first = 0;
	let peak = 0;
	for (const [index, time] of times.entries()) {
		while (times[first]! <= time - PEAK_MILLISECONDS) {
			first++;
		}

		peak = Math.max(peak, index - first + 1);
	}

	return peak;
}

function describe({outcomes, returns}: Measurement): string {
	const kinds = Object.entries(outcomes).map(([kind, {requests, served, inTime}]) => `${kind} served ${(served / requests).toFixed(3)}, in time ${(inTime / requests).toFixed(3)}`);
	return `${kinds.join('; ')}; returns ${returns.length}, at most ${countPeak(returns)} within ${PEAK_MILLISECONDS} ms`;
}

for (const load of [OVERLOADS[0]!, ...UPSTREAM_FAULTS]) {
	test(load.name, t => {
		// Callers that return at once send a hundred thousand requests; all loads take 40 s on a busy machine.
		t.timeout(300_000);
		const [told, atOnce, fixed] = CALLER_NAMES.map(caller => {
			const measurement = measure(load, CALLERS[caller]);
			t.log(caller, describe(measurement));
			return measurement;
		}) as [Measurement, Measurement, Measurement];
		t.log('one third each', describe(measure(mix(load), (retryAfter, kind) => CALLERS[CALLER_NAMES.find(caller => kind.endsWith(caller))!](retryAfter))));

		// Guards against a Retry-After after which those refused together return together, or so late that slots are left to nobody.
		t.true(countPeak(told.returns) <= countPeak(fixed.returns) / 2);
		for (const other of [atOnce, fixed]) {
			t.true(sum(told.outcomes, 'served') / sum(told.outcomes, 'requests') >= (sum(other.outcomes, 'served') / sum(other.outcomes, 'requests')) - 0.03);
		}
	});
}
