/**
Measures the time to admit a request by the number of organisations: every request is checked, so the time must not grow with them.
*/
import * as allotments from '../index.ts';

const COUNTS = [85, 1000, 100_000];
const REQUESTS = 300_000;
const WINDOW_MILLISECONDS = 5000;
/**
Largest ratio of the time with the most organisations to the time with the fewest: data that does not fit into the processor's caches is a few times slower.
*/
const MAX_RATIO = 4;
const MICROSECONDS_PER_MILLISECOND = 1000;

/**
Runs the measurement for each number of organisations.
*/
export async function run() {
	const rows = COUNTS.map(count => ({organisations: count, microsecondsPerRequest: Number(measure(count).toFixed(2))}));
	const ratio = rows.at(-1)!.microsecondsPerRequest / rows[0]!.microsecondsPerRequest;
	return {
		title: 'Admitting requests within allotments',
		rows,
		broken: ratio > MAX_RATIO ? [`With ${COUNTS.at(-1)} organisations a request takes ${ratio.toFixed(1)} times as long as with ${COUNTS[0]}.`] : [],
	};
}

function measure(count: number): number {
	const limiter = allotments.createAllotmentLimiter({
		slack: 20, windowMilliseconds: WINDOW_MILLISECONDS, getShare: () => 1, isReceivingReports: true, random: () => 0.5,
	}, 0);
	const names = Array.from({length: count}, (_item, index) => `organisation-${index}`);
	limiter.setAllotments(names.map(organisation => ({organisation, ratePerSecond: 100, burst: 100})), 0);
	const startedAt = performance.now();
	for (let request = 0; request < REQUESTS; request++) {
		const now = 10_000 + (request / 10);
		limiter.admit(names[request % count]!, 'archive', now);
		if (request % 1000 === 0) {
			limiter.collectReport(now);
		}
	}

	return (performance.now() - startedAt) * MICROSECONDS_PER_MILLISECOND / REQUESTS;
}
