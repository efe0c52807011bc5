/**
What detection costs a carrier: bytes of a summary, and processor time of taking one in and of a tick, by the upstreams of a
service; and the requests that a summary counts at the size to design for.
*/
import {SIZE} from './size.ts';
import {measureMicroseconds, type Row} from './slopes.ts';
import * as detection from 'wagtailroute-detection';
import * as utils from 'wagtailroute-utils';

const UPSTREAMS = [5, 10, 20, 40] as const;
const CARRIERS = 6;
const ROUNDS = 600;
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
		detection.createEvidence({host: `entry-${1000 + index}`, failureDomain: `domain-${index}`, epoch: index}));
	let state = detection.createDetection({host: 'entry-1000', operatingPoint: 'fast'});
	let now = 0;
	const step = (event: detection.Event) => {
		const transition = detection.stepDetection(state, event, {now, random});
		state = transition.state;
	};

	step({kind: 'upstreams-changed', upstreams: ids.map(id => ({id, state: 'serving'}))});
	const summaries: detection.Summary[] = [];
	let microseconds = 0;
	let tickMicroseconds = 0;
	let bytes = 0;
	for (let round = 0; round < ROUNDS; round++) {
		now += 850;
		for (const evidence of evidences) {
			for (let request = 0; request < REQUESTS; request++) {
				evidence.record(ids[utils.pickIndex(random, upstreams)]!, 'success', 5 + (random() * 40));
			}

			const summary = evidence.takeSummary(now)!;
			bytes += JSON.stringify({service: 'service-1234', summary}).length;
			summaries.push(summary);
		}

		microseconds += measureMicroseconds(() => {
			for (const summary of summaries.splice(0)) {
				step({kind: 'summary', summary});
			}
		});
		tickMicroseconds += measureMicroseconds(() => {
			step({kind: 'tick'});
		});
	}

	return {
		upstreams,
		requests: REQUESTS,
		summaryBytes: Math.round(bytes / ROUNDS / CARRIERS),
		summaryMicroseconds: Math.round(microseconds / ROUNDS / CARRIERS * 10) / 10,
		tickMicroseconds: Math.round(tickMicroseconds / ROUNDS * 10) / 10,
	};
}
