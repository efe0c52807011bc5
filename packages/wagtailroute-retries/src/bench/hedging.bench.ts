/**
Tail latency and load of reads with and without hedging. Latencies are drawn at random without queueing: a fraction of the
attempts is slow. Deterministic: seeded.
*/
import * as utils from 'wagtailroute-utils';
import * as retries from '../index.ts';

/**
Result with or without hedging, at one fraction of slow attempts.
*/
export type HedgingRow = {
	readonly isHedged: boolean;
	readonly slowFraction: number;
	readonly p50Milliseconds: number;
	readonly p99Milliseconds: number;
	/**
	Attempts divided by requests.
	*/
	readonly amplification: number;
};

const REQUESTS = 50_000;
const MEAN_MILLISECONDS = 20;
const SLOW_FACTOR = 20;
const SLOW_FRACTIONS = [0, 0.02, 0.2, 1];
const RETRY_RATIO = 0.1;
const REMAINING_MILLISECONDS = 5000;
const SEED = 12;
const MAX_TAIL_RATIO = 0.25;
const MAX_AMPLIFICATION = 1.1;

/**
Measures every fraction of slow attempts without and with hedging.
*/
export function benchHedging(): HedgingRow[] {
	return SLOW_FRACTIONS.flatMap(slowPart => [false, true].map(isHedged => measure(slowPart, isHedged)));
}

function measure(slowPart: number, isHedged: boolean): HedgingRow {
	const random = utils.createRandom(SEED);
	const latencies: number[] = [];
	let histogram = retries.createLatencyHistogram();
	let budget = retries.createRetryBudget(0);
	let sends = 0;
	const send = () => {
		sends++;
		const factor = random() < slowPart ? SLOW_FACTOR : 1;
		return MEAN_MILLISECONDS * factor * (0.5 + random());
	};

	for (let request = 0; request < REQUESTS; request++) {
		budget = retries.creditRequest(budget, {retryRatio: RETRY_RATIO, now: request});
		const first = send();
		const delay = retries.getHedgeDelay({
			requestClass: 'read', histogram, remainingMilliseconds: REMAINING_MILLISECONDS, isTierRetry: false,
		});
		const isLate = isHedged && delay !== undefined && first > delay && retries.hasRetryToken(budget);
		budget = isLate ? retries.spendRetryToken(budget) : budget;
		const latency = isLate ? Math.min(first, delay + send()) : first;
		histogram = retries.recordLatency(histogram, latency);
		latencies.push(latency);
	}

	const sorted = latencies.toSorted((left, right) => left - right);
	return {
		isHedged,
		slowFraction: slowPart,
		p50Milliseconds: sorted[Math.floor(REQUESTS * 0.5)]!,
		p99Milliseconds: sorted[Math.floor(REQUESTS * 0.99)]!,
		amplification: sends / REQUESTS,
	};
}

/**
Runs the bench and checks its bounds.
*/
export async function run(): Promise<{
	title: string;
	rows: ReadonlyArray<Record<string, string | number>>;
	broken: readonly string[];
}> {
	const rows = benchHedging();
	const getRow = (isHedged: boolean, slowPart: number) =>
		rows.find(row => row.isHedged === isHedged && row.slowFraction === slowPart)!;
	const ratio = getRow(true, 0.02).p99Milliseconds / getRow(false, 0.02).p99Milliseconds;
	return {
		title: 'What hedging of reads saves and costs',
		rows: rows.map(row => ({
			hedged: row.isHedged ? 'yes' : 'no',
			'slow part': row.slowFraction,
			'p50 ms': Math.round(row.p50Milliseconds),
			'p99 ms': Math.round(row.p99Milliseconds),
			'sends a request': Number(row.amplification.toFixed(3)),
		})),
		broken: [
			...ratio > MAX_TAIL_RATIO ? [`The 99th percentile with 0.02 slow attempts is ${ratio.toFixed(2)} of that without hedging, the bound is ${MAX_TAIL_RATIO}.`] : [],
			...rows.filter(row => row.amplification > MAX_AMPLIFICATION)
				.map(row => `Reads take ${row.amplification.toFixed(3)} attempts per request with a slow fraction of ${row.slowFraction}, the bound is ${MAX_AMPLIFICATION}.`),
		],
	};
}
