/**
Bench of the cost of detection for one healthy service on a host: processor time of its steps, and bytes sent to each other
carrier. It compares two strategies over the same traffic. `steady`, the former one, sends everything as JSON every 250 ms and
steps every 100 ms; `following`, the present one, does work as things change. Bytes are deterministic; times are means without
the longest tenth, and bounds are ratios within the run.
*/
import * as utils from 'wagtailroute-utils';
import * as detection from '../index.ts';

type Size = {readonly upstreams: number; readonly hosts: number};

type Row = {
	readonly upstreams: number;
	readonly hosts: number;
	readonly stepMicroseconds: number;
	readonly stepsPerSecond: number;
	readonly steadyMicroseconds: number;
	readonly followingMicroseconds: number;
	readonly jsonBytes: number;
	readonly summaryBytes: number;
	readonly steadyBytes: number;
	readonly followingBytes: number;
};

type Cost = {
	readonly steps: readonly number[];
	readonly summaries: number;
	readonly jsonBytes: number;
	readonly textBytes: number;
};

type Strategy = {
	readonly collect: (collector: detection.EvidenceCollector, now: number) => detection.Summary | undefined;
	readonly getStepIntervalMilliseconds: (state: detection.DetectionState) => number;
};

const SIZES: readonly Size[] = [6, 8, 20, 30].flatMap(upstreams => [4, 8, 16, 44].map(hosts => ({upstreams, hosts})));
const REQUESTS_PER_UPSTREAM_SECOND = 45;
const USUAL_ERROR_RATE = 0.001;
const MEDIAN_MILLISECONDS = 40;
const LATENCY_SIGMA = 0.5;
const SECONDS = 12;
const LOOP_STEP_MILLISECONDS = 50;
const WARM_UP_SIZES = 4;
const KEPT_FRACTION = 0.9;
const LOOPS = SECONDS * 1000 / LOOP_STEP_MILLISECONDS;

const STRATEGIES: Readonly<Record<'steady' | 'following', Strategy>> = {
	steady: {
		collect: (collector, now) => now % detection.ALERTED_SUMMARY_INTERVAL_MILLISECONDS < LOOP_STEP_MILLISECONDS ? collector.collectSummary(now) : undefined,
		getStepIntervalMilliseconds: () => detection.TICK_INTERVAL_MILLISECONDS,
	},
	following: {
		collect: (collector, now) => collector.collectDueSummary(now, detection.QUIET_SUMMARY_INTERVAL_MILLISECONDS),
		getStepIntervalMilliseconds: detection.getTickIntervalMilliseconds,
	},
};

/**
Largest fractions of the cost of `steady` that `following` may have.
*/
const BYTES_RATIO = 0.2;
const TIME_RATIO = 0.6;
const STEPS_RATIO = 0.35;
const STEADY_STEPS_PER_SECOND = 1000 / detection.TICK_INTERVAL_MILLISECONDS;

/**
Largest fraction of the JSON of a summary that its compact text may take, when it covers some requests of each upstream.
*/
const TEXT_RATIO = 0.3;

/**
Largest ratio of the cost of a step at the largest size to that at the smallest. The largest size has 55 times as many pairs
of an upstream and a host.
*/
const GROWTH_RATIO = 40;

/**
Runs the bench.
*/
export async function run(): Promise<{
	readonly title: string;
	readonly rows: readonly Row[];
	readonly broken: readonly string[];
}> {
	// Warm-up: the engine compiles the code during the first runs.
	for (const size of SIZES.slice(-WARM_UP_SIZES)) {
		measureSize(size);
	}

	const rows = SIZES.map(size => measureSize(size));
	return {
		title: 'Cost of detection for each service: microseconds and bytes to each carrier, a second',
		rows,
		broken: [...rows.flatMap(row => getBrokenBounds(row)), ...getBrokenTimeBound(rows), ...getBrokenGrowthBound(rows)],
	};
}

function measureSize(size: Size): Row {
	const steady = measure(size, STRATEGIES.steady);
	const following = measure(size, STRATEGIES.following);
	const perSecond = (value: number): number => Math.round(value / SECONDS);
	return {
		...size,
		stepMicroseconds: Math.round(getMean(following.steps)),
		stepsPerSecond: Math.round(following.steps.length * 10 / SECONDS) / 10,
		steadyMicroseconds: perSecond(getMean(steady.steps) * steady.steps.length),
		followingMicroseconds: perSecond(getMean(following.steps) * following.steps.length),
		jsonBytes: Math.round(steady.jsonBytes / steady.summaries),
		summaryBytes: Math.round(following.textBytes / following.summaries),
		steadyBytes: perSecond(steady.jsonBytes / size.hosts),
		followingBytes: perSecond(following.textBytes / size.hosts),
	};
}

function measure({upstreams, hosts}: Size, strategy: Strategy): Cost {
	const random = utils.createRandom(1);
	const ids = Array.from({length: upstreams}, (_, index) => `quoting-${24_500 + index}`);
	const collectors = Array.from({length: hosts}, (_, host) => detection.createEvidenceCollector({
		host: `entry-${host}`,
		failureDomain: `domain-${host % 3}`,
		epoch: host,
	}));
	let state = detection.createDetectionState({host: 'entry-0', operatingPoint: 'fast'});
	const step = (event: detection.Event, now: number) => {
		const transition = detection.stepDetection(state, event, {now, random});
		state = transition.state;
	};

	step({kind: 'upstreams-changed', upstreams: ids.map(id => ({id, state: 'serving'}))}, 0);
	const cost = {
		steps: [] as number[],
		summaries: 0,
		jsonBytes: 0,
		textBytes: 0,
	};
	const getHostTime = (host: number, now: number): number => now + Math.floor(host * 1000 / hosts);
	let steppedAt = 0;
	for (let loop = 1; loop <= LOOPS; loop++) {
		const now = loop * LOOP_STEP_MILLISECONDS;
		simulateRequests(ids, collectors, random);
		const collected = collectors.map((collector, host) => [host, strategy.collect(collector, getHostTime(host, now))] as const);
		const sent = collected.filter(hasSummary);
		for (const [host, summary] of sent) {
			cost.summaries++;
			cost.jsonBytes += JSON.stringify({service: 'quoting', summary}).length;
			cost.textBytes += JSON.stringify(['quoting', summary.sequence, detection.encodeUpstreamSummaries(summary.upstreams, host)]).length;
			step({kind: 'summary', summary}, now);
			applyToOthers(collectors, host, {summary, now, getHostTime});
		}

		if (now - steppedAt < strategy.getStepIntervalMilliseconds(state)) {
			continue;
		}

		steppedAt = now;
		const startedAt = performance.now();
		step({kind: 'tick'}, now);
		cost.steps.push((performance.now() - startedAt) * 1000);
	}

	return cost;
}

function simulateRequests(ids: readonly string[], collectors: readonly detection.EvidenceCollector[], random: utils.Random): void {
	const requests = Math.round(REQUESTS_PER_UPSTREAM_SECOND * ids.length * LOOP_STEP_MILLISECONDS / 1000);
	for (let request = 0; request < requests; request++) {
		const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
		const result = random() < USUAL_ERROR_RATE ? 'status' : 'success';
		const host = utils.pickIndex(random, collectors.length);
		const id = ids[utils.pickIndex(random, ids.length)]!;
		collectors[host]!.record(id, result, MEDIAN_MILLISECONDS * Math.exp(LATENCY_SIGMA * normal));
	}
}

function hasSummary(entry: readonly [number, detection.Summary | undefined]): entry is readonly [number, detection.Summary] {
	return entry[1] !== undefined;
}

function applyToOthers(collectors: readonly detection.EvidenceCollector[], from: number, {summary, now, getHostTime}: {
	readonly summary: detection.Summary;
	readonly now: number;
	readonly getHostTime: (host: number, now: number) => number;
}): void {
	const others = collectors.entries().filter(([host]) => host !== from);
	for (const [host, other] of others) {
		other.applySummary(summary, getHostTime(host, now));
	}
}

// The longest tenth is left out, since it holds pauses of the process and of a busy machine.
function getMean(values: readonly number[]): number {
	const ordered = values.toSorted((left, right) => left - right);
	const kept = ordered.slice(0, Math.ceil(ordered.length * KEPT_FRACTION));
	return kept.reduce((sum, value) => sum + value, 0) / Math.max(1, kept.length);
}

function getBrokenBounds(row: Row): string[] {
	const name = `detection cost, ${row.upstreams} upstreams, ${row.hosts} hosts`;
	return [
		...(row.followingBytes > row.steadyBytes * BYTES_RATIO ? [`${name}: ${row.followingBytes} bytes a second, steady ${row.steadyBytes}`] : []),
		...(row.stepsPerSecond > STEADY_STEPS_PER_SECOND * STEPS_RATIO ? [`${name}: ${row.stepsPerSecond} steps a second`] : []),
		...(row.summaryBytes > row.jsonBytes * TEXT_RATIO ? [`${name}: summary of ${row.summaryBytes} bytes, JSON ${row.jsonBytes}`] : []),
	];
}

// The bound applies to all sizes together, since the time of a single size varies by chance on a busy machine.
function getBrokenTimeBound(rows: readonly Row[]): string[] {
	const steady = rows.reduce((sum, row) => sum + row.steadyMicroseconds, 0);
	const following = rows.reduce((sum, row) => sum + row.followingMicroseconds, 0);
	return following > steady * TIME_RATIO ? [`detection cost: ${following} microseconds a second over all sizes, steady ${steady}`] : [];
}

function getBrokenGrowthBound(rows: readonly Row[]): string[] {
	const smallest = rows[0]!.stepMicroseconds;
	const largest = rows.at(-1)!.stepMicroseconds;
	return largest > smallest * GROWTH_RATIO ? [`detection cost: a step takes ${largest} microseconds on the largest size, ${smallest} on the smallest`] : [];
}
