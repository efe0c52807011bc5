/**
Processor time of a slot request and its ending, by number of queued requests, in the order of arrival and ordered by cost.
*/
import * as utils from 'wagtailroute-utils';
import * as dispatch from '../index.ts';

type Row = {
	readonly order: 'arrival' | 'cost';
	readonly queued: number;
	readonly microsecondsPerRequest: number;
};

const QUEUED = [0, 100, 1000, 3000] as const;
const ORDERS = ['arrival', 'cost'] as const;
const UPSTREAMS = 80;
const SLOTS = 2;
const ROUNDS = 4000;
const ORGANISATIONS = 77;
const PRIORITIES = 3;
const SERVICE = 'archive';

/**
Ordered by cost, a slot request may cost at most this many times as much as in the order of arrival.
*/
const MAX_RATIO = 3;

/**
Measures all lengths of the queue, each several times in turns: the first runs include the compilation.
*/
export async function run(): Promise<{readonly title: string; readonly rows: readonly Row[]; readonly broken: readonly string[]}> {
	const cases = QUEUED.flatMap(queued => ORDERS.map(order => ({order, queued})));
	const turns = Array.from({length: 4}, () => cases.map(({order, queued}) => measure(order, queued))).slice(1);
	const rows = cases.map(({order, queued}, index): Row => ({
		order, queued, microsecondsPerRequest: Math.round(Math.min(...turns.map(turn => turn[index]!)) * 10) / 10,
	}));
	const get = (order: Row['order'], queued: number) => rows.find(row => row.order === order && row.queued === queued)!.microsecondsPerRequest;
	return {
		title: 'Cost of ordering queued slot requests',
		rows,
		broken: QUEUED.filter(queued => get('cost', queued) > MAX_RATIO * get('arrival', queued))
			.map(queued => `With ${queued} queued requests the order by cost takes over ${MAX_RATIO} times as long as that of arrival.`),
	};
}

function measure(order: Row['order'], queued: number): number {
	const dispatcher = dispatch.createDispatcher({
		budget: {ratio: 0.2, extra: 60, windowMilliseconds: 10_000}, floor: 0.7, random: utils.createRandom(1), isOrderedByCost: () => order === 'cost',
	});
	dispatcher.setCandidates(SERVICE, Array.from({length: UPSTREAMS}, (_, index) => ({
		upstream: String(index), address: {ip: '10.0.0.1', port: 80}, failureDomain: 'x', slots: SLOTS, isDraining: false, isSilent: false, warmAt: 0,
	})), 0);
	const held: string[] = [];
	let now = 0;
	let count = 0;
	const recordGrants = (effects: readonly dispatch.Effect[]) => {
		held.push(...effects.flatMap(effect => effect.kind === 'grant' ? [effect.request.id] : []));
	};

	const request = () => {
		recordGrants(dispatcher.requestSlot(createSlotRequest(count), now));
		count++;
	};

	for (let index = 0; index < (UPSTREAMS * SLOTS) + queued; index++) {
		request();
	}

	const startedAt = performance.now();
	for (let round = 0; round < ROUNDS; round++) {
		now++;
		recordGrants(dispatcher.end(held.shift()!, {ending: 'success', milliseconds: UPSTREAMS * SLOTS}, now));
		request();
	}

	return (performance.now() - startedAt) * 1000 / ROUNDS;
}

function createSlotRequest(index: number): dispatch.SlotRequest {
	return {
		id: `host:${index}`,
		host: `host-${index % 4}`,
		failureDomain: 'x',
		service: SERVICE,
		organisation: `organisation-${index % ORGANISATIONS}`,
		route: `route-${index % PRIORITIES}`,
		requestClass: 'non-idempotent',
		priority: index % PRIORITIES,
		// None is refused, so the queue keeps its length.
		remainingMilliseconds: 1e7,
		objectiveMilliseconds: 1e6,
		excluded: [],
		isResend: false,
		isMove: false,
		waitedMilliseconds: 0,
	};
}
