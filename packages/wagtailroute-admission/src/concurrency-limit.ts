/**
Adaptive limit of requests in flight, by latency against its least.

What goes wrong without it: more requests are sent than the backend servers have slots, they wait there where nobody can
refuse them, and all are answered after their deadlines. One would notice throughput without goodput. The limit follows
the median latency of a window of answers: above the least median by more than a tolerance it shrinks, else it grows by
its square root, never above the cap. The median is not moved by a minority of slow upstreams, which are for detection to
find, nor by a mix of slow and fast requests that stays the same. Held in a closure with one array, as every answer passes
here.
*/
import {
	LATENCY_TOLERANCE,
	LEAST_LATENCY_WINDOWS,
	MAX_WINDOW_SAMPLES,
	MIN_WINDOW_MILLISECONDS,
	MIN_WINDOW_SAMPLES,
	LEAST_LATENCY_SPAN_MILLISECONDS,
	LEAST_LATENCY_SPAN_WINDOWS,
	LIMIT_SMOOTHING,
	MAX_OVERLOAD_SHARE,
	MIN_GRADIENT,
	OVERLOAD_FACTOR,
	PROBE_FACTOR,
	START_LIMIT,
} from './constants.ts';

/**
How a request ended. `overloaded`: shed by the upstream or timed out. `failed` says nothing of load.
*/
export type Ending = 'completed' | 'overloaded' | 'failed';

/**
The limit. `inFlight` is what was in flight when the request ended, itself included.
*/
export type ConcurrencyLimit = {
	readonly getLimit: () => number;
	/**
	`growth`: factor by which the slots of the upstreams have grown, when it is known. Without it a cap that rises is taken
	to bring slots in proportion. `start`: where the limit starts, when there were no slots before.
	*/
	readonly setCap: (cap: number, change?: {readonly growth?: number; readonly start?: number}) => void;
	readonly record: (sample: {
		readonly ending: Ending;
		readonly latencyMilliseconds: number;
		readonly inFlight: number;
		readonly now: number;
	}) => void;
};

// What the window that ends was for. `starting` ends with the first one that shows queueing. A probe takes the limit down:
// answers of its first window were sent before, those of the next ones show the least latency.
type Phase = 'starting' | 'steady' | 'draining' | 'probing';

type Window = {
	readonly median: number | undefined;
	readonly isOverloaded: boolean;
	readonly isUsed: boolean;
	readonly now: number;
	readonly milliseconds: number;
};

/**
Creates a limit that starts low and grows fast until answers slow down, so that its first least latency is a true one.
`start` is where it starts, when it is known that so many can run side by side.
*/
export function createConcurrencyLimit(cap: number, start = START_LIMIT): ConcurrencyLimit {
	const latencies = new Float64Array(MAX_WINDOW_SAMPLES);
	const least = createLeastLatency();
	let bound = cap;
	let limit = Math.min(cap, Math.max(start, START_LIMIT));
	let limitBeforeProbe = limit;
	let phase: Phase = 'starting';
	// Times count from the first answer.
	let probedAt: number | undefined;
	let windowStart: number | undefined;
	let samples = 0;
	let overloads = 0;
	let mostInFlight = 0;

	// An overload that lasts hides the least latency: in time the queueing one would pass for it, and the limit would creep
	// up. So a limit that is in use is taken down for a moment in each span.
	const startProbe = (now: number) => {
		probedAt = now;
		limitBeforeProbe = limit;
		limit = Math.max(1, limit * PROBE_FACTOR);
		phase = 'draining';
	};

	const adapt = ({median, isOverloaded, isUsed}: Window) => {
		// A limit that is not used is not what makes answers slow, and proves nothing about a higher one.
		const gradient = isUsed && median !== undefined ? getGradient(least.get(), median) : 1;
		const isSlow = isOverloaded || gradient < 1;
		const isStarting = phase === 'starting' && !isSlow;
		phase = isStarting ? 'starting' : 'steady';
		const growth = isUsed && !isSlow ? Math.sqrt(limit) : 0;
		const target = (limit * gradient) + (isStarting && isUsed ? limit : growth);
		limit += LIMIT_SMOOTHING * (target - limit);
		limit *= isOverloaded ? OVERLOAD_FACTOR : 1;
		limit = Math.max(1, Math.min(bound, limit));
	};

	const endWindow = (window: Window) => {
		const {median, isUsed, now, milliseconds} = window;
		const span = Math.max(LEAST_LATENCY_SPAN_MILLISECONDS, milliseconds * LEAST_LATENCY_SPAN_WINDOWS);
		if (median !== undefined && phase !== 'draining') {
			least.record(median, now, span);
		}

		if (phase === 'draining') {
			phase = 'probing';
			least.startBlock();
		} else if (phase === 'probing') {
			const isDone = least.isBlockStart();
			phase = isDone ? 'steady' : 'probing';
			limit = isDone ? Math.min(bound, limitBeforeProbe) : limit;
		} else if (phase === 'steady' && isUsed && now - (probedAt ?? now) >= span) {
			startProbe(now);
		} else {
			adapt(window);
		}
	};

	const takeWindow = (now: number): Window => {
		const median = samples === 0 ? undefined : getMedian(latencies.subarray(0, Math.min(samples, MAX_WINDOW_SAMPLES)));
		const isOverloaded = overloads > MAX_OVERLOAD_SHARE * (samples + overloads);
		const isUsed = mostInFlight * 2 >= limit;
		samples = 0;
		overloads = 0;
		mostInFlight = 0;
		const milliseconds = now - (windowStart ?? now);
		windowStart = now;
		return {
			median, isOverloaded, isUsed, now, milliseconds,
		};
	};

	return {
		getLimit: () => Math.min(bound, Math.max(1, Math.floor(limit))),
		setCap(next, {growth, start: anew} = {}) {
			if (anew !== undefined || bound < 1) {
				limit = Math.max(anew ?? start, START_LIMIT);
			} else if (growth === undefined) {
				// A cap that rises takes the limit along: new upstreams bring their slots.
				limit *= Math.max(1, next / bound);
			} else {
				// A share that rises brings no slots: a limit that latency has set stays, one that only the share has set
				// goes with it.
				limit = limit >= bound ? Math.max(limit, next) : limit * growth;
			}

			limit = Math.max(1, Math.min(limit, next));
			bound = next;
		},
		record({ending, latencyMilliseconds, inFlight, now}) {
			windowStart ??= now;
			probedAt ??= now;
			mostInFlight = Math.max(mostInFlight, inFlight);
			if (ending === 'completed') {
				latencies[samples % MAX_WINDOW_SAMPLES] = latencyMilliseconds;
				samples++;
			} else if (ending === 'overloaded') {
				overloads++;
			}

			if (samples + overloads >= MIN_WINDOW_SAMPLES && now - windowStart >= MIN_WINDOW_MILLISECONDS) {
				endWindow(takeWindow(now));
			}
		},
	};
}

function getGradient(least: number, median: number): number {
	const ratio = LATENCY_TOLERANCE * least / Math.max(median, Number.MIN_VALUE);
	return Math.max(MIN_GRADIENT, Math.min(1, ratio));
}

function getMedian(latencies: Float64Array): number {
	return latencies.toSorted()[Math.floor(latencies.length / 2)]!;
}

// The least mean of a block of windows in the two latest spans: when the service itself becomes slower, the old least is
// forgotten in time.
function createLeastLatency() {
	let spanStart = 0;
	let earlier = Infinity;
	let current = Infinity;
	let windows = 0;
	let sum = 0;
	const startBlock = () => {
		windows = 0;
		sum = 0;
	};

	return {
		get: () => Math.min(earlier, current),
		isBlockStart: () => windows === 0,
		startBlock,
		record(median: number, now: number, span: number) {
			if (now - spanStart >= span) {
				earlier = current;
				current = Infinity;
				spanStart = now;
			}

			windows++;
			sum += median;
			if (windows !== LEAST_LATENCY_WINDOWS) {
				return;
			}

			current = Math.min(current, sum / windows);
			startBlock();
		},
	};
}
