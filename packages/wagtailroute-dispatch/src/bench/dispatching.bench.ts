/**
Processor time of a dispatcher per request, for its slot request and its ending, by number of upstreams and load. Arrivals are simulated from a seed;
a request takes 300 ms, and a tenth of the upstreams resets all requests.

Two kinds of rows: arrivals at a rate relative to what the slots can serve (`load`), and a steady state with a fixed fraction of the slots in use
(`used`) or with a fixed number of queued requests (`queued`).
*/
import process from 'node:process';
import * as utils from 'wagtailroute-utils';
import * as dispatch from '../index.ts';

type Row = {
	readonly upstreams: number;
	/**
	Rate of requests as a fraction of what the slots can serve.
	*/
	readonly load: number | '';
	/**
	Fraction of the healthy upstreams' slots that are in use.
	*/
	readonly used: number | '';
	/**
	Queued requests, while all slots are in use.
	*/
	readonly queued: number;
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
const STEADY_SIZES = [20, 80, 320, 1280] as const;
const STEADY_STATES = [{used: 0.4, queued: 0}, {used: 0.95, queued: 0}, {used: 1, queued: 1000}] as const;
const STEADY_REQUESTS = 1500;

/**
Runs of each steady state. The fastest counts: others include what other processes of the machine took.
*/
const STEADY_RUNS = 2;

/**
Queued requests wait for minutes, so that none is refused.
*/
const STEADY_OBJECTIVE_MILLISECONDS = 300_000;

/**
Interval of the host's timer.
*/
const TICK_MILLISECONDS = 50;
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
	const rows = [
		...LOADS.flatMap(load => SIZES.map(upstreams => measure(upstreams, load))),
		...STEADY_STATES.flatMap(state => STEADY_SIZES.map(upstreams => measureSteadyState(upstreams, state))),
	];
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

	const usageBefore = process.cpuUsage();
	for (let request = 0; request < requests; request++) {
		now += gapMilliseconds;
		for (const {id, ending} of [...removeDue(resets, now), ...removeDue(successes, now)]) {
			count.served += ending === 'success' ? 1 : 0;
			scheduleEndings(dispatcher.end(id, {ending, milliseconds: WORK_MILLISECONDS}, now));
		}

		scheduleEndings(dispatcher.requestSlot(createSlotRequest(request), now));
		count.waitingMost = Math.max(count.waitingMost, dispatcher.countWaiting());
	}

	const milliseconds = getProcessorMilliseconds(usageBefore);
	return {
		upstreams,
		load,
		used: '',
		queued: 0,
		microsecondsPerRequest: Math.round(milliseconds * 1000 / requests * 10) / 10,
		servedShare: Math.round(count.served / requests * 1000) / 1000,
		waitingMost: count.waitingMost,
	};
}

function getProcessorMilliseconds(before: NodeJS.CpuUsage): number {
	const {user, system} = process.cpuUsage(before);
	return (user + system) / 1000;
}

function measureSteadyState(upstreams: number, state: SteadyState): Row {
	const rows = Array.from({length: STEADY_RUNS}, () => runSteadyState(upstreams, state));
	return rows.toSorted((a, b) => a.microsecondsPerRequest - b.microsecondsPerRequest)[0]!;
}

type SteadyState = (typeof STEADY_STATES)[number];

/**
Fills the slots and the queue, then ends the oldest request and requests a slot for another one in turn.
*/
function runSteadyState(upstreams: number, {used, queued}: SteadyState): Row {
	const dispatcher = dispatch.createDispatcher({budget: {ratio: 0.2, extra: 60, windowMilliseconds: 10_000}, floor: 0.7, random: utils.createRandom(SEED)});
	dispatcher.setCandidates(SERVICE, Array.from({length: upstreams}, (_, index) => createCandidate(index)), 0);
	const healthySlots = upstreams * SLOTS * (1 - (1 / FAILING_EVERY));
	const inProgress = Math.round(healthySlots * used);
	const gapMilliseconds = WORK_MILLISECONDS / inProgress;
	const held: string[] = [];
	const resets: string[] = [];
	const count = {
		requested: 0, ended: 0, reset: 0, waitingMost: 0,
	};
	let now = 0;
	let tickAt = 0;

	const apply = (effects: readonly dispatch.Effect[]) => {
		for (const effect of effects) {
			if (effect.kind !== 'grant') {
				continue;
			}

			const isFailing = Number(effect.upstream) % FAILING_EVERY === 0;
			(isFailing ? resets : held).push(effect.request.id);
		}
	};

	const request = () => {
		now += gapMilliseconds;
		if (now >= tickAt) {
			tickAt = now + TICK_MILLISECONDS;
			apply(dispatcher.tick(now));
		}

		const limits = {remainingMilliseconds: STEADY_OBJECTIVE_MILLISECONDS, objectiveMilliseconds: STEADY_OBJECTIVE_MILLISECONDS};
		apply(dispatcher.requestSlot({...createSlotRequest(count.requested++), ...limits}, now));
		for (let id = resets.pop(); id !== undefined; id = resets.pop()) {
			count.reset++;
			apply(dispatcher.end(id, {ending: 'reset', milliseconds: 1}, now));
		}
	};

	const end = () => {
		const oldest = held[count.ended++]!;
		apply(dispatcher.end(oldest, {ending: 'success', milliseconds: WORK_MILLISECONDS}, now));
	};

	const runRequests = (requests: number, waiting: number) => {
		for (let index = 0; index < requests; index++) {
			while (count.ended < held.length && held.length - count.ended + dispatcher.countWaiting() >= inProgress + waiting) {
				end();
			}

			request();
			count.waitingMost = Math.max(count.waitingMost, dispatcher.countWaiting());
		}
	};

	// The usual response time has to be known before requests can be queued for long.
	runRequests(inProgress + STEADY_REQUESTS, 0);
	runRequests(queued + STEADY_REQUESTS, queued);
	const before = {...count};
	const usageBefore = process.cpuUsage();
	runRequests(STEADY_REQUESTS, queued);
	const milliseconds = getProcessorMilliseconds(usageBefore);
	return {
		upstreams,
		load: '',
		used,
		queued,
		microsecondsPerRequest: Math.round(milliseconds * 1000 / STEADY_REQUESTS * 10) / 10,
		servedShare: Math.round((count.ended - before.ended) / (count.ended - before.ended + count.reset - before.reset) * 1000) / 1000,
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
