/**
Processor time of a dispatcher per request, for its slot request and its ending, by number of upstreams and load. Arrivals are simulated from a seed;
a request takes 300 ms, and a tenth of the upstreams resets all requests.
*/
import * as utils from 'wagtailroute-utils';
import * as dispatch from '../index.ts';

type Row = {
	readonly upstreams: number;
	/**
	Rate of requests as a fraction of what the slots can serve.
	*/
	readonly load: number;
	readonly microsecondsPerRequest: number;
	readonly servedShare: number;
	readonly waitingMost: number;
};

type ScheduledEnding = {
	readonly id: string;
	readonly at: number;
	readonly ending: dispatch.Ending;
};

const SIZES = [20, 80, 320] as const;
const LOADS = [0.5, 1.5] as const;
const SLOTS = 4;
const WORK_MILLISECONDS = 300;
const OBJECTIVE_MILLISECONDS = 1000;
const DEADLINE_MILLISECONDS = 2500;
const FAILING_EVERY = 10;
const MIN_REQUESTS = 6000;

/**
Requests per upstream: ten times the number of its slots.
*/
const REQUESTS_PER_UPSTREAM = 40;
const DOMAINS = 4;
const SERVICE = 'archive';
const SEED = 5;

/**
Four times the upstreams may cost at most this many times as much: each slot request examines all of them.
*/
const MAX_GROWTH = 6;

/**
Overload may cost at most this many times as much as half load: each event also examines the queue.
*/
const MAX_OVERLOAD_RATIO = 8;

/**
Measures all sizes and loads.
*/
export async function run(): Promise<{readonly title: string; readonly rows: readonly Row[]; readonly broken: readonly string[]}> {
	measure(SIZES[0], LOADS[0]);
	const rows = LOADS.flatMap(load => SIZES.map(upstreams => measure(upstreams, load)));
	return {title: 'Cost of dispatching a request', rows, broken: findBroken(rows)};
}

function findBroken(rows: readonly Row[]): readonly string[] {
	const get = (upstreams: number, load: number) => rows.find(row => row.upstreams === upstreams && row.load === load)!.microsecondsPerRequest;
	const growths = LOADS.flatMap(load => SIZES.slice(1).map((size, index) => ({load, size, times: get(size, load) / get(SIZES[index]!, load)})));
	const overloads = SIZES.map(size => ({size, times: get(size, LOADS[1]) / get(size, LOADS[0])}));
	return [
		...growths.filter(({times}) => times > MAX_GROWTH)
			.map(({load, size, times}) => `At load ${load}, ${size} upstreams cost ${times.toFixed(1)} times as much as a fourth of them.`),
		...overloads.filter(({times}) => times > MAX_OVERLOAD_RATIO)
			.map(({size, times}) => `With ${size} upstreams overload costs ${times.toFixed(1)} times as much as half load.`),
	];
}

function measure(upstreams: number, load: number): Row {
	const random = utils.createRandom(SEED);
	const dispatcher = dispatch.createDispatcher({budget: {ratio: 0.2, extra: 60, windowMilliseconds: 10_000}, floor: 0.7, random});
	dispatcher.setCandidates(SERVICE, Array.from({length: upstreams}, (_, index) => createCandidate(index)), 0);
	const gapMilliseconds = WORK_MILLISECONDS / (upstreams * SLOTS * load);
	const requests = Math.max(MIN_REQUESTS, upstreams * REQUESTS_PER_UPSTREAM);
	// Each list is sorted by time.
	const successes: ScheduledEnding[] = [];
	const resets: ScheduledEnding[] = [];
	const count = {served: 0, waitingMost: 0};
	let now = 0;

	const scheduleEndings = (effects: readonly dispatch.Effect[]) => {
		for (const effect of effects) {
			if (effect.kind !== 'grant') {
				continue;
			}

			const isFailing = Number(effect.upstream) % FAILING_EVERY === 0;
			(isFailing ? resets : successes).push({id: effect.request.id, at: now + (isFailing ? 1 : WORK_MILLISECONDS), ending: isFailing ? 'reset' : 'success'});
		}
	};

	const startedAt = performance.now();
	for (let request = 0; request < requests; request++) {
		now += gapMilliseconds;
		for (const {id, ending} of [...removeDue(resets, now), ...removeDue(successes, now)]) {
			count.served += ending === 'success' ? 1 : 0;
			scheduleEndings(dispatcher.end(id, {ending, milliseconds: WORK_MILLISECONDS}, now));
		}

		scheduleEndings(dispatcher.requestSlot(createSlotRequest(request), now));
		count.waitingMost = Math.max(count.waitingMost, dispatcher.countWaiting());
	}

	const milliseconds = performance.now() - startedAt;
	return {
		upstreams,
		load,
		microsecondsPerRequest: Math.round(milliseconds * 1000 / requests * 10) / 10,
		servedShare: Math.round(count.served / requests * 1000) / 1000,
		waitingMost: count.waitingMost,
	};
}

function removeDue(endings: ScheduledEnding[], now: number): readonly ScheduledEnding[] {
	const due = endings.findIndex(({at}) => at > now);
	return endings.splice(0, due === -1 ? endings.length : due);
}

function createCandidate(index: number): dispatch.Candidate {
	return {
		upstream: String(index),
		address: {ip: '10.0.0.1', port: 80},
		failureDomain: `domain-${index % DOMAINS}`,
		slots: SLOTS,
		isDraining: false,
		isSilent: false,
		warmAt: 0,
	};
}

function createSlotRequest(request: number): dispatch.SlotRequest {
	return {
		id: `host:${request}`,
		host: `host-${request % DOMAINS}`,
		failureDomain: `domain-${request % DOMAINS}`,
		service: SERVICE,
		route: 'route',
		requestClass: request % 4 === 0 ? 'read' : 'non-idempotent',
		priority: 1,
		remainingMilliseconds: DEADLINE_MILLISECONDS,
		objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
		excluded: [],
		isResend: false,
		isMove: false,
		waitedMilliseconds: 0,
	};
}
