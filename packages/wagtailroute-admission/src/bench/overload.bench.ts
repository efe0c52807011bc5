/**
Goodput and fairness under overload: a host before a service whose slots thrash when more is sent than they hold. Events
in simulated time, seeded. Policies: the admission of this package; a plain first-in-first-out queue with the operator's
too high limit; that queue with the adaptive limit of this package; the same with the user limit of the related paper (a
least percentage of 25, a factor of 1).
*/
import * as utils from 'wagtailroute-utils';
import * as admission from '../index.ts';

/**
A way of admitting, as the bench drives it.
*/
export type Gate = Pick<admission.Admission, 'request' | 'release' | 'tick'>;

/**
Name of a way of admitting.
*/
export type PolicyName = 'max-min' | 'fifo' | 'fifo-adaptive' | 'user-limit-adaptive';

/**
One row. Goodput is answers within the deadline per second; `lightSuccess` the share of requests so answered to
organisations that ask for less than their fair share, `heavySuccess` that of those that ask for most of the load.
*/
export type OverloadRow = {
	readonly policy: PolicyName;
	readonly overload: number;
	readonly heavyOrganisations: number;
	readonly heavyPart: number;
	readonly goodput: number;
	readonly goodputOfPeak: number;
	readonly lightSuccess: number;
	readonly heavySuccess: number;
	readonly refusedAtOnce: number;
	readonly lightP99Milliseconds: number;
};

const SLOTS = 24;
const SERVICE_MILLISECONDS = 20;
const CAPACITY_PER_SECOND = SLOTS * 1000 / SERVICE_MILLISECONDS;
const CONCURRENCY = 120;
const QUEUE_MILLISECONDS = 100;
const DEADLINE_MILLISECONDS = 250;
const SECONDS = 60;
const WARM_UP_SECONDS = 3;
const TICK_MILLISECONDS = 10;
const LIGHT_ORGANISATIONS = 20;
const LIGHT_PART_AT_CAPACITY = 0.5;
const SEED = 5;
const MIN_GOODPUT_OF_PEAK = 0.95;
const MIN_LIGHT_SUCCESS = 0.99;
const HEAVY = 'heavy';
const HEAVY_ORGANISATIONS = [1, 6];
const OVERLOADS = [0.9, 1, 2, 5];

const POLICIES: Readonly<Record<PolicyName, () => Gate>> = {
	'max-min': () => admission.createAdmission({concurrency: CONCURRENCY, queueMilliseconds: QUEUE_MILLISECONDS}, 0),
	fifo: () => createPlainGate(1, () => CONCURRENCY),
	'fifo-adaptive': () => createAdaptiveGate(1),
	'user-limit-adaptive': () => createAdaptiveGate(0.25),
};

/**
Runs all policies at 1, 2 and 5 times the capacity. The light organisations ask for half the capacity at every load, the
heavy ones for the rest.
*/
export function benchOverload(): OverloadRow[] {
	const cases = (Object.keys(POLICIES) as PolicyName[]).flatMap(policy =>
		HEAVY_ORGANISATIONS.map(heavyOrganisations => ({policy, heavyOrganisations})));
	return cases.flatMap(({policy, heavyOrganisations}) => {
		const rows = OVERLOADS.map(overload => measure({policy, overload, heavyOrganisations}));
		const peak = Math.max(...rows.map(({goodput}) => goodput));
		return rows.map(row => ({...row, goodputOfPeak: row.goodput / peak}));
	});
}

type Event = {readonly at: number; readonly run: (now: number) => void};

type Tally = {asked: number; good: number; refused: number; latencies: number[]};

type Case = Pick<OverloadRow, 'policy' | 'overload' | 'heavyOrganisations'>;

function measure({policy, overload, heavyOrganisations}: Case): OverloadRow {
	const random = utils.createRandom(SEED);
	const gate = POLICIES[policy]();
	const events = createEventQueue();
	const tallies = {heavy: createTally(), light: createTally()};
	const waiting = new Map<admission.Ticket, (now: number) => void>();
	let running = 0;

	const settle = (changes: readonly admission.TicketChange[], now: number) => {
		for (const {ticket, result} of changes) {
			const begin = waiting.get(ticket);
			waiting.delete(ticket);
			if (result.kind === 'admitted') {
				begin?.(now);
			}
		}
	};

	const begin = (organisation: string, arrivedAt: number, now: number) => {
		running++;
		// Slots that are over-committed share their time and lose some of it to switching.
		const excess = Math.max(0, (running / SLOTS) - 1);
		const stretch = (1 + excess) * (1 + (excess / 4));
		const latency = -Math.log(1 - random()) * SERVICE_MILLISECONDS * stretch;
		const endAt = now + latency;
		// A caller gives up at its deadline; the backend server has spent the time all the same.
		events.push({
			at: endAt,
			run(ended) {
				running--;
				const isGood = ended - arrivedAt <= DEADLINE_MILLISECONDS;
				const tally = organisation.startsWith(HEAVY) ? tallies.heavy : tallies.light;
				if (isGood && arrivedAt >= WARM_UP_SECONDS * 1000) {
					tally.good++;
					tally.latencies.push(ended - arrivedAt);
				}

				settle(gate.release({
					organisation, now: ended, latencyMilliseconds: latency, ending: isGood ? 'completed' : 'overloaded',
				}), ended);
			},
		});
	};

	const arrive = (organisation: string, now: number) => {
		const tally = organisation.startsWith(HEAVY) ? tallies.heavy : tallies.light;
		const isCounted = now >= WARM_UP_SECONDS * 1000;
		tally.asked += isCounted ? 1 : 0;
		const answer = gate.request({organisation, now, deadline: now + DEADLINE_MILLISECONDS});
		if (answer.kind === 'admitted') {
			begin(organisation, now, now);
		} else if (answer.kind === 'queued') {
			waiting.set(answer.ticket, started => {
				begin(organisation, now, started);
			});
		} else {
			tally.refused += isCounted ? 1 : 0;
		}
	};

	const lightRate = CAPACITY_PER_SECOND * LIGHT_PART_AT_CAPACITY;
	const schedule = (rate: number, pick: () => string) => {
		const next = (now: number) => {
			arrive(pick(), now);
			plan(now);
		};

		const plan = (now: number) => {
			events.push({at: now - (Math.log(1 - random()) * 1000 / rate), run: next});
		};

		plan(0);
	};

	schedule(lightRate, () => `light ${utils.pickIndex(random, LIGHT_ORGANISATIONS)}`);
	schedule((CAPACITY_PER_SECOND * overload) - lightRate, () => `${HEAVY} ${utils.pickIndex(random, heavyOrganisations)}`);
	const tick = (now: number) => {
		settle(gate.tick(now), now);
		events.push({at: now + TICK_MILLISECONDS, run: tick});
	};

	tick(0);
	events.runUntil(SECONDS * 1000);
	const {heavy, light} = tallies;
	const sorted = light.latencies.toSorted((left, right) => left - right);
	return {
		policy,
		overload,
		heavyOrganisations,
		heavyPart: heavy.asked / (heavy.asked + light.asked),
		goodput: (heavy.good + light.good) / (SECONDS - WARM_UP_SECONDS),
		goodputOfPeak: 1,
		lightSuccess: light.good / light.asked,
		heavySuccess: heavy.good / heavy.asked,
		refusedAtOnce: (heavy.refused + light.refused) / (heavy.asked + light.asked),
		lightP99Milliseconds: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
	};
}

function createTally(): Tally {
	return {
		asked: 0, good: 0, refused: 0, latencies: [],
	};
}

function getParent(index: number): number {
	return Math.floor((index - 1) / 2);
}

// A binary heap by time.
function createEventQueue() {
	const heap: Event[] = [];
	const swap = (left: number, right: number) => {
		const moved = heap[left]!;
		heap[left] = heap[right]!;
		heap[right] = moved;
	};

	const sink = () => {
		let index = 0;
		for (;;) {
			const left = (index * 2) + 1;
			const right = left + 1;
			const child = right < heap.length && heap[right]!.at < heap[left]!.at ? right : left;
			if (child >= heap.length || heap[index]!.at <= heap[child]!.at) {
				return;
			}

			swap(index, child);
			index = child;
		}
	};

	return {
		push(event: Event) {
			heap.push(event);
			let index = heap.length - 1;
			while (index > 0 && heap[getParent(index)]!.at > heap[index]!.at) {
				swap(index, getParent(index));
				index = getParent(index);
			}
		},
		runUntil(end: number) {
			while (heap.length > 0 && heap[0]!.at <= end) {
				const event = heap[0]!;
				const last = heap.pop()!;
				if (heap.length > 0) {
					heap[0] = last;
					sink();
				}

				event.run(event.at);
			}
		},
	};
}

// First in first out with a fixed limit; an organisation may hold the limit over the number of those active, but no less
// than the given part of it. With a part of 1 it is no user limit at all.
function createPlainGate(leastPart: number, getLimit: () => number): Gate {
	const inFlight = new Map<string, number>();
	let waiting: admission.Ticket[] = [];
	let total = 0;
	const canStart = (organisation: string) => {
		const active = new Set([...inFlight.keys(), ...waiting.slice(0, CONCURRENCY).map(ticket => ticket.organisation)]);
		const part = leastPart === 1 ? 1 : Math.max(leastPart, 1 / Math.max(1, active.size));
		return total < getLimit() && (inFlight.get(organisation) ?? 0) < getLimit() * part;
	};

	const start = (organisation: string) => {
		total++;
		inFlight.set(organisation, (inFlight.get(organisation) ?? 0) + 1);
	};

	const drain = (now: number): admission.TicketChange[] => {
		const changes: admission.TicketChange[] = [];
		waiting = waiting.filter(ticket => ticket.latestStart >= now);
		const blocked = new Set<string>();
		for (const ticket of waiting) {
			if (total >= getLimit()) {
				break;
			}

			if (!blocked.has(ticket.organisation) && canStart(ticket.organisation)) {
				start(ticket.organisation);
				changes.push({ticket, result: {kind: 'admitted'}});
			} else {
				blocked.add(ticket.organisation);
			}
		}

		const started = new Set(changes.map(({ticket}) => ticket));
		waiting = waiting.filter(ticket => !started.has(ticket));
		return changes;
	};

	return {
		request({organisation, now}) {
			if (waiting.length === 0 && canStart(organisation)) {
				start(organisation);
				return {kind: 'admitted'};
			}

			if (waiting.length >= 1000) {
				return {kind: 'refused', failure: 'queue-full', retryAfterMilliseconds: 1000};
			}

			const ticket = {organisation, latestStart: now + QUEUE_MILLISECONDS, isByDeadline: false};
			waiting.push(ticket);
			return {kind: 'queued', ticket};
		},
		release({organisation, now}) {
			total--;
			const left = inFlight.get(organisation)! - 1;
			if (left === 0) {
				inFlight.delete(organisation);
			} else {
				inFlight.set(organisation, left);
			}

			return drain(now);
		},
		tick: drain,
	};
}

function createAdaptiveGate(leastPart: number): Gate {
	const limit = admission.createConcurrencyLimit(CONCURRENCY);
	const gate = createPlainGate(leastPart, limit.getLimit);
	let inFlight = 0;
	const count = (changes: readonly admission.TicketChange[]) => {
		inFlight += changes.length;
		return changes;
	};

	return {
		request(request) {
			const answer = gate.request(request);
			inFlight += answer.kind === 'admitted' ? 1 : 0;
			return answer;
		},
		release(release) {
			limit.record({...release, inFlight});
			inFlight--;
			return count(gate.release(release));
		},
		tick: now => count(gate.tick(now)),
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
	const rows = benchOverload();
	const chosen = rows.filter(row => row.policy === 'max-min');
	const plain = rows.filter(row => row.policy === 'fifo' && row.overload === 5);
	const describe = (row: OverloadRow) => `${row.overload}x with ${row.heavyOrganisations} heavy organisations`;
	return {
		title: 'Goodput and fairness under overload',
		rows: rows.map(row => ({
			policy: row.policy,
			'heavy organisations': row.heavyOrganisations,
			load: row.overload,
			'goodput a second': Math.round(row.goodput),
			'of its peak': Number(row.goodputOfPeak.toFixed(3)),
			'light answered': Number(row.lightSuccess.toFixed(4)),
			'heavy answered': Number(row.heavySuccess.toFixed(4)),
			'light p99 ms': Math.round(row.lightP99Milliseconds),
		})),
		broken: [
			...chosen.filter(row => row.overload === 5 && row.goodputOfPeak < MIN_GOODPUT_OF_PEAK)
				.map(row => `Goodput at ${describe(row)} is ${row.goodputOfPeak.toFixed(3)} of its peak, the bound is ${MIN_GOODPUT_OF_PEAK}.`),
			...chosen.filter(row => row.lightSuccess < MIN_LIGHT_SUCCESS)
				.map(row => `Organisations within their share are answered at ${describe(row)} in ${row.lightSuccess.toFixed(4)}, the bound is ${MIN_LIGHT_SUCCESS}.`),
			...plain.filter(row => row.lightSuccess > 0.5).map(row => `The plain queue serves them as well at ${describe(row)}: the load does not show the fault.`),
		],
	};
}
