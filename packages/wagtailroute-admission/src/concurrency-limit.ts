/**
Adaptive concurrency limit, by the gradient of the latency to its baseline.

Without it, more requests are sent than the backend servers have slots; they wait there, where they cannot be refused, and
all are answered after their deadlines: throughput without goodput. The limit follows the median latency of a window of
answers: when the median exceeds the baseline, the minimum of recent medians, by more than a tolerance, the limit shrinks;
otherwise it grows by its square root, up to the cap. The median is not affected by a minority of slow upstreams, which
detection handles, nor by a constant mix of slow and fast requests. The state is mutable, in a closure with one array,
because this runs for every answer.
*/
import {
	LATENCY_TOLERANCE_RATIO,
	BASELINE_LATENCY_WINDOWS,
	MAX_WINDOW_SAMPLES,
	MIN_WINDOW_MILLISECONDS,
	MIN_WINDOW_SAMPLES,
	MIN_BASELINE_SPAN_MILLISECONDS,
	MIN_BASELINE_SPAN_WINDOWS,
	LIMIT_SMOOTHING_WEIGHT,
	MAX_OVERLOAD_FRACTION,
	MIN_GRADIENT,
	OVERLOAD_DECREASE_FACTOR,
	PROBE_LIMIT_FACTOR,
	INITIAL_LIMIT,
} from './constants.ts';

/**
How a request ended. `overloaded`: shed by the upstream or timed out. `failed`: failed for a reason that does not indicate
load.
*/
export type RequestEnding = 'completed' | 'overloaded' | 'failed';

/**
Adaptive maximum of requests in flight: at least 1, unless the cap is lower.
*/
export type ConcurrencyLimit = {
	readonly getLimit: () => number;
	/**
	Sets the maximum of the limit.

	@param change.slotGrowth Factor by which the slots of the upstreams have grown. When absent, the slots are assumed to grow
	in proportion to the cap.
	@param change.startLimit Value from which the limit starts again, when there were no slots before.
	*/
	readonly setCap: (cap: number, change?: {readonly slotGrowth?: number; readonly startLimit?: number}) => void;
	/**
	Records the end of a request. `inFlight` counts the requests in flight at that time, including this one.
	*/
	readonly record: (sample: {
		readonly ending: RequestEnding;
		readonly latencyMilliseconds: number;
		readonly inFlight: number;
		readonly now: number;
	}) => void;
};

// Phase of the current window. `starting` lasts until the first window that shows queueing. A probe lowers the limit: the
// requests of its first window (`draining`) were sent before, those of the next windows (`probing`) show the baseline.
type Phase = 'starting' | 'steady' | 'draining' | 'probing';

type LatencyWindow = {
	readonly median: number | undefined;
	readonly isOverloaded: boolean;
	readonly isUsed: boolean;
	readonly now: number;
	readonly milliseconds: number;
};

/**
Creates a limit that starts low and grows fast until answers slow down, so that its first baseline is not raised by queueing.

@param initialLimit Number of requests that are known to run concurrently without queueing.
*/
export function createConcurrencyLimit(cap: number, initialLimit = INITIAL_LIMIT): ConcurrencyLimit {
	const latencies = new Float64Array(MAX_WINDOW_SAMPLES);
	const baseline = createLatencyBaseline();
	let currentCap = cap;
	let limit = Math.min(cap, Math.max(initialLimit, INITIAL_LIMIT));
	let limitBeforeProbe = limit;
	let phase: Phase = 'starting';
	// These times are set at the first answer.
	let probedAt: number | undefined;
	let windowStart: number | undefined;
	let samples = 0;
	let overloads = 0;
	let maxInFlight = 0;

	// During a lasting overload every answer includes queueing, which would become the baseline in time and let the limit
	// grow. A limit that is in use is therefore lowered briefly once in each span.
	const startProbe = (now: number) => {
		probedAt = now;
		limitBeforeProbe = limit;
		limit = Math.max(1, limit * PROBE_LIMIT_FACTOR);
		phase = 'draining';
	};

	const adapt = ({median, isOverloaded, isUsed}: LatencyWindow) => {
		// A limit that is not used is not the cause of slow answers, and fast answers do not show that it may grow.
		const gradient = isUsed && median !== undefined ? getGradient(baseline.get(), median) : 1;
		const isSlow = isOverloaded || gradient < 1;
		const isStarting = phase === 'starting' && !isSlow;
		phase = isStarting ? 'starting' : 'steady';
		const growth = isUsed && !isSlow ? Math.sqrt(limit) : 0;
		const target = (limit * gradient) + (isStarting && isUsed ? limit : growth);
		limit += LIMIT_SMOOTHING_WEIGHT * (target - limit);
		limit *= isOverloaded ? OVERLOAD_DECREASE_FACTOR : 1;
		limit = Math.max(1, Math.min(currentCap, limit));
	};

	const endWindow = (window: LatencyWindow) => {
		const {median, isUsed, now, milliseconds} = window;
		const span = Math.max(MIN_BASELINE_SPAN_MILLISECONDS, milliseconds * MIN_BASELINE_SPAN_WINDOWS);
		if (median !== undefined && phase !== 'draining') {
			baseline.record(median, now, span);
		}

		if (phase === 'draining') {
			phase = 'probing';
			baseline.startBlock();
		} else if (phase === 'probing') {
			const isDone = baseline.isBlockStart();
			phase = isDone ? 'steady' : 'probing';
			limit = isDone ? Math.min(currentCap, limitBeforeProbe) : limit;
		} else if (phase === 'steady' && isUsed && now - (probedAt ?? now) >= span) {
			startProbe(now);
		} else {
			adapt(window);
		}
	};

	const closeWindow = (now: number): LatencyWindow => {
		const median = samples === 0 ? undefined : getMedian(latencies.subarray(0, Math.min(samples, MAX_WINDOW_SAMPLES)));
		const isOverloaded = overloads > MAX_OVERLOAD_FRACTION * (samples + overloads);
		const isUsed = maxInFlight * 2 >= limit;
		samples = 0;
		overloads = 0;
		maxInFlight = 0;
		const milliseconds = now - (windowStart ?? now);
		windowStart = now;
		return {
			median, isOverloaded, isUsed, now, milliseconds,
		};
	};

	return {
		getLimit: () => Math.min(currentCap, Math.max(1, Math.floor(limit))),
		setCap(next, {slotGrowth, startLimit} = {}) {
			if (startLimit !== undefined || currentCap < 1) {
				limit = Math.max(startLimit ?? initialLimit, INITIAL_LIMIT);
			} else if (slotGrowth === undefined) {
				// The limit grows with the cap: the cap grows because new upstreams add slots.
				limit *= Math.max(1, next / currentCap);
			} else {
				// A larger share of the limit adds no slots: a limit that latency has set stays, one that was at the cap grows
				// with it.
				limit = limit >= currentCap ? Math.max(limit, next) : limit * slotGrowth;
			}

			limit = Math.max(1, Math.min(limit, next));
			currentCap = next;
		},
		record({ending, latencyMilliseconds, inFlight, now}) {
			windowStart ??= now;
			probedAt ??= now;
			maxInFlight = Math.max(maxInFlight, inFlight);
			if (ending === 'completed') {
				latencies[samples % MAX_WINDOW_SAMPLES] = latencyMilliseconds;
				samples++;
			} else if (ending === 'overloaded') {
				overloads++;
			}

			if (samples + overloads >= MIN_WINDOW_SAMPLES && now - windowStart >= MIN_WINDOW_MILLISECONDS) {
				endWindow(closeWindow(now));
			}
		},
	};
}

function getGradient(baseline: number, median: number): number {
	const ratio = LATENCY_TOLERANCE_RATIO * baseline / Math.max(median, Number.MIN_VALUE);
	return Math.max(MIN_GRADIENT, Math.min(1, ratio));
}

function getMedian(latencies: Float64Array): number {
	return latencies.toSorted()[Math.floor(latencies.length / 2)]!;
}

// Baseline latency: the minimum, over the two latest spans, of the mean median of a block of windows. When the service itself
// becomes slower, the old baseline expires.
function createLatencyBaseline() {
	let spanStart = 0;
	let previousSpan = Infinity;
	let currentSpan = Infinity;
	let windows = 0;
	let medianSum = 0;
	const startBlock = () => {
		windows = 0;
		medianSum = 0;
	};

	return {
		get: () => Math.min(previousSpan, currentSpan),
		isBlockStart: () => windows === 0,
		startBlock,
		record(median: number, now: number, span: number) {
			if (now - spanStart >= span) {
				previousSpan = currentSpan;
				currentSpan = Infinity;
				spanStart = now;
			}

			windows++;
			medianSum += median;
			if (windows !== BASELINE_LATENCY_WINDOWS) {
				return;
			}

			currentSpan = Math.min(currentSpan, medianSum / windows);
			startBlock();
		},
	};
}
