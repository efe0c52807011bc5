/**
What detection costs a carrier: bytes of a summary, and processor time of taking one in and of a tick, by the upstreams of a
service; and the requests that a summary counts at the size to design for.
*/
import process from 'node:process';
import * as detection from '../../packages/wagtailroute-detection/src/index.ts';
import * as utils from '../../packages/wagtailroute-utils/src/index.ts';
import {collectGarbage} from './heap.ts';
import {SIZE} from './size.ts';
import {measureMicroseconds, type Row} from './slopes.ts';

const UPSTREAMS = [5, 10, 20, 40] as const;
const CARRIERS = 6;
const MEASURED_MILLISECONDS = 60_000;
const TICK_MILLISECONDS = 425;
const SEED = 2;

/**
Requests of one service at one carrier between two summaries, 850 ms apart with 17 services.
*/
const REQUESTS = Math.round(SIZE.requestsPerSecond / SIZE.services / CARRIERS * 0.85);

/**
Measures all sizes.
*/
export function measureDetection(): readonly Row[] {
	measureSize(UPSTREAMS[0]);
	return UPSTREAMS.map(upstreams => measureSize(upstreams));
}

function measureSize(upstreams: number): Row {
	const random = utils.createRandom(SEED);
	const ids = Array.from({length: upstreams}, (_, index) => `service-1234-upstream-${index}`);
	const evidences = Array.from({length: CARRIERS}, (_, index) =>
		detection.createEvidenceCollector({host: `entry-${1000 + index}`, failureDomain: `domain-${index}`, epoch: index}));
	let state = detection.createDetectionState({host: 'entry-1000', operatingPoint: 'fast'});
	let now = 0;
	const step = (event: detection.Event) => {
		const transition = detection.stepDetection(state, event, {now, random});
		state = transition.state;
	};

	step({kind: 'upstreams-changed', upstreams: ids.map(id => ({id, state: 'serving'}))});
	const cost = {
		bytes: 0, summaries: 0, summaryMicroseconds: 0, ticks: 0, tickMicroseconds: 0,
	};
	const summarize = (evidence: detection.EvidenceCollector) => {
		for (let request = 0; request < REQUESTS; request++) {
			evidence.record(ids[utils.pickIndex(random, upstreams)]!, 'success', 5 + (random() * 40));
		}

		const summary = evidence.collectSummary(now)!;
		// As the host's letters carry it.
		cost.bytes += JSON.stringify(['service-1234', summary.sequence, detection.encodeUpstreamSummaries(summary.upstreams, SEED)]).length;
		cost.summaries++;
		cost.summaryMicroseconds += measureMicroseconds(() => {
			step({kind: 'summary', summary});
		});
	};

	// A host with 17 services makes two steps of each in the time of a summary; half of the carriers are heard before each.
	for (; now < MEASURED_MILLISECONDS; now += TICK_MILLISECONDS) {
		const half = now / TICK_MILLISECONDS % 2;
		for (const [index, evidence] of evidences.entries()) {
			if (index % 2 === half) {
				summarize(evidence);
			}
		}

		cost.ticks++;
		cost.tickMicroseconds += measureMicroseconds(() => {
			step({kind: 'tick'});
		});
	}

	return {
		upstreams,
		heapBytes: measureHeap(upstreams),
		requests: REQUESTS,
		summaryBytes: Math.round(cost.bytes / cost.summaries),
		summaryMicroseconds: Math.round(cost.summaryMicroseconds / cost.summaries * 10) / 10,
		tickMicroseconds: Math.round(cost.tickMicroseconds / cost.ticks * 10) / 10,
	};
}

const COPIES = 50;

/**
Memory of the state of one service after one summary of each carrier, as a mean over several.
*/
function measureHeap(upstreams: number): number {
	createFilled(0, upstreams);
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const states = Array.from({length: COPIES}, (_unused, copy) => createFilled(copy, upstreams));
	collectGarbage();
	const bytes = process.memoryUsage().heapUsed - before;
	// The states are looked at after the measurement, so that they were not collected before it.
	return states.length === COPIES ? Math.round(bytes / COPIES) : NaN;
}

function createFilled(copy: number, upstreams: number): detection.DetectionState {
	const random = utils.createRandom(SEED);
	const ids = Array.from({length: upstreams}, (_unused, index) => `service-${copy}-upstream-${index}`);
	const events: detection.Event[] = [
		{kind: 'upstreams-changed', upstreams: ids.map(id => ({id, state: 'serving'}))},
		...Array.from({length: CARRIERS}, (_unused, host): detection.Event => ({
			kind: 'summary',
			summary: {
				host: `entry-${host}`,
				failureDomain: `domain-${host}`,
				epoch: 1,
				sequence: 1,
				upstreams: ids.map(id => ({
					id, successes: 3, failures: {}, sheds: 0, latencies: [40, 1, 41, 1, 42, 1],
				})),
			},
		})),
	];
	let state = detection.createDetectionState({host: 'entry-1000', operatingPoint: 'fast'});
	for (const event of events) {
		state = detection.stepDetection(state, event, {now: 0, random}).state;
	}

	return state;
}
