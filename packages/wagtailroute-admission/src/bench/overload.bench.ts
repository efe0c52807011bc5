/**
Goodput and fairness under overload: a host in front of a service that becomes less efficient when more requests are sent
than it has slots. Deterministic: seeded, in simulated time. Policies: the admission controller of this package (`max-min`); a
first-in-first-out queue with a fixed limit that an operator set too high (`fifo`); that queue with the adaptive limit of this
package (`fifo-adaptive`); the same with the user limit of the related paper, with a minimum percentage of 25 and a factor
of 1 (`user-limit-adaptive`).
*/
import * as utils from 'wagtailroute-utils';
import * as admission from '../index.ts';

/**
Admission policy: the operations that the bench uses.
*/
export type AdmissionPolicy = Pick<admission.AdmissionController, 'request' | 'release' | 'tick'>;

/**
Name of an admission policy.
*/
export type PolicyName = 'max-min' | 'fifo' | 'fifo-adaptive' | 'user-limit-adaptive';

/**
Result of one policy at one load. Goodput is the number of answers within the deadline per second. `lightSuccess` is the
fraction of requests answered within the deadline for organisations that request less than their fair share, `heavySuccess`
that for the organisations that cause most of the load.
*/
export type OverloadRow = {
	readonly policy: PolicyName;
	readonly overload: number;
	readonly heavyOrganisations: number;
	readonly heavyFraction: number;
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
const LIGHT_LOAD_FRACTION = 0.5;
const SEED = 5;
const MIN_GOODPUT_OF_PEAK = 0.95;
const MIN_LIGHT_SUCCESS = 0.99;
const HEAVY = 'heavy';
const HEAVY_ORGANISATIONS = [1, 6];
const OVERLOADS = [0.9, 1, 2, 5];

const POLICIES: Readonly<Record<PolicyName, () => AdmissionPolicy>> = {
	'max-min': () => admission.createAdmissionController({concurrency: CONCURRENCY, queueMilliseconds: QUEUE_MILLISECONDS}, 0),
	fifo: () => createFifoPolicy(1, () => CONCURRENCY),
	'fifo-adaptive': () => createAdaptiveFifoPolicy(1),
	'user-limit-adaptive': () => createAdaptiveFifoPolicy(0.25),
};

/**
Measures all policies at 0.9, 1, 2 and 5 times the capacity. The light organisations request half the capacity at every load,
the heavy organisations the rest.
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

type Tally = {requested: number; good: number; refused: number; latencies: number[]};

type Case = Pick<OverloadRow, 'policy' | 'overload' | 'heavyOrganisations'>;

function measure({policy, overload, heavyOrganisations}: Case): OverloadRow {
	const random = utils.createRandom(SEED);
	const admissionPolicy = POLICIES[policy]();
	const events = createEventQueue();
	const tallies = {heavy: createTally(), light: createTally()};
	const waiting = new Map<admission.Ticket, (now: number) => void>();
	let running = 0;

	const applyResolutions = (resolutions: readonly admission.TicketResolution[], now: number) => {
		for (const {ticket, result} of resolutions) {
			const onAdmitted = waiting.get(ticket);
			waiting.delete(ticket);
			if (result.kind === 'admitted') {
				onAdmitted?.(now);
			}
		}
	};

	const startRequest = (organisation: string, arrivedAt: number, now: number) => {
		running++;
		// Requests in excess of the slots share their time, and switching between requests costs additional time.
		const excess = Math.max(0, (running / SLOTS) - 1);
		const slowdown = (1 + excess) * (1 + (excess / 4));
		const latency = -Math.log(1 - random()) * SERVICE_MILLISECONDS * slowdown;
		const endAt = now + latency;
		// The caller gives up at its deadline, but the backend server still completes the request.
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

				applyResolutions(admissionPolicy.release({
					organisation, now: ended, latencyMilliseconds: latency, ending: isGood ? 'completed' : 'overloaded',
				}), ended);
			},
		});
	};

	const receive = (organisation: string, now: number) => {
		const tally = organisation.startsWith(HEAVY) ? tallies.heavy : tallies.light;
		const isCounted = now >= WARM_UP_SECONDS * 1000;
		tally.requested += isCounted ? 1 : 0;
		const decision = admissionPolicy.request({organisation, now, deadline: now + DEADLINE_MILLISECONDS});
		if (decision.kind === 'admitted') {
			startRequest(organisation, now, now);
		} else if (decision.kind === 'queued') {
			waiting.set(decision.ticket, started => {
				startRequest(organisation, now, started);
			});
		} else {
			tally.refused += isCounted ? 1 : 0;
		}
	};

	const lightRate = CAPACITY_PER_SECOND * LIGHT_LOAD_FRACTION;
	const schedule = (rate: number, pick: () => string) => {
		const next = (now: number) => {
			receive(pick(), now);
			scheduleNext(now);
		};

		const scheduleNext = (now: number) => {
			events.push({at: now - (Math.log(1 - random()) * 1000 / rate), run: next});
		};

		scheduleNext(0);
	};

	schedule(lightRate, () => `light ${utils.pickIndex(random, LIGHT_ORGANISATIONS)}`);
	schedule((CAPACITY_PER_SECOND * overload) - lightRate, () => `${HEAVY} ${utils.pickIndex(random, heavyOrganisations)}`);
	const tick = (now: number) => {
		applyResolutions(admissionPolicy.tick(now), now);
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
		heavyFraction: heavy.requested / (heavy.requested + light.requested),
		goodput: (heavy.good + light.good) / (SECONDS - WARM_UP_SECONDS),
		goodputOfPeak: 1,
		lightSuccess: light.good / light.requested,
		heavySuccess: heavy.good / heavy.requested,
		refusedAtOnce: (heavy.refused + light.refused) / (heavy.requested + light.requested),
		lightP99Milliseconds: sorted[Math.floor(sorted.length * 0.99)] ?? 0,
	};
}

function createTally(): Tally {
	return {
		requested: 0, good: 0, refused: 0, latencies: [],
	};
}

function getParent(index: number): number {
	return Math.floor((index - 1) / 2);
}

// Binary heap of events, ordered by time.
function createEventQueue() {
	const heap: Event[] = [];
	const swap = (left: number, right: number) => {
		const moved = heap[left]!;
		heap[left] = heap[right]!;
		heap[right] = moved;
	};

	const siftDown = () => {
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
					siftDown();
				}

				event.run(event.at);
			}
		},
	};
}

// First-in-first-out queue with a limit. Each organisation may use the limit divided by the number of active organisations,
// but at least `minFraction` of the limit. With a fraction of 1 there is no limit per organisation.
function createFifoPolicy(minFraction: number, getLimit: () => number): AdmissionPolicy {
	const inFlight = new Map<string, number>();
	let waiting: admission.Ticket[] = [];
	let total = 0;
	const canStart = (organisation: string) => {
		const active = new Set([...inFlight.keys(), ...waiting.slice(0, CONCURRENCY).map(ticket => ticket.organisation)]);
		const fraction = minFraction === 1 ? 1 : Math.max(minFraction, 1 / Math.max(1, active.size));
		return total < getLimit() && (inFlight.get(organisation) ?? 0) < getLimit() * fraction;
	};

	const start = (organisation: string) => {
		total++;
		inFlight.set(organisation, (inFlight.get(organisation) ?? 0) + 1);
	};

	const startQueued = (now: number): admission.TicketResolution[] => {
		const resolutions: admission.TicketResolution[] = [];
		waiting = waiting.filter(ticket => ticket.latestStart >= now);
		const blocked = new Set<string>();
		for (const ticket of waiting) {
			if (total >= getLimit()) {
				break;
			}

			if (!blocked.has(ticket.organisation) && canStart(ticket.organisation)) {
				start(ticket.organisation);
				resolutions.push({ticket, result: {kind: 'admitted'}});
			} else {
				blocked.add(ticket.organisation);
			}
		}

		const started = new Set(resolutions.map(({ticket}) => ticket));
		waiting = waiting.filter(ticket => !started.has(ticket));
		return resolutions;
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

			const ticket = {organisation, latestStart: now + QUEUE_MILLISECONDS, isLimitedByDeadline: false};
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

			return startQueued(now);
		},
		tick: startQueued,
	};
}

function createAdaptiveFifoPolicy(minFraction: number): AdmissionPolicy {
	const limit = admission.createConcurrencyLimit(CONCURRENCY);
	const fifo = createFifoPolicy(minFraction, limit.getLimit);
	let inFlight = 0;
	const count = (resolutions: readonly admission.TicketResolution[]) => {
		inFlight += resolutions.length;
		return resolutions;
	};

	return {
		request(request) {
			const decision = fifo.request(request);
			inFlight += decision.kind === 'admitted' ? 1 : 0;
			return decision;
		},
		release(release) {
			limit.record({...release, inFlight});
			inFlight--;
			return count(fifo.release(release));
		},
		tick: now => count(fifo.tick(now)),
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
	const maxMinRows = rows.filter(row => row.policy === 'max-min');
	const fifoRows = rows.filter(row => row.policy === 'fifo' && row.overload === 5);
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
			...maxMinRows.filter(row => row.overload === 5 && row.goodputOfPeak < MIN_GOODPUT_OF_PEAK)
				.map(row => `Goodput at ${describe(row)} is ${row.goodputOfPeak.toFixed(3)} of its peak, the bound is ${MIN_GOODPUT_OF_PEAK}.`),
			...maxMinRows.filter(row => row.lightSuccess < MIN_LIGHT_SUCCESS)
				.map(row => `At ${describe(row)}, organisations within their share have a success rate of ${row.lightSuccess.toFixed(4)}, the bound is ${MIN_LIGHT_SUCCESS}.`),
			...fifoRows.filter(row => row.lightSuccess > 0.5)
				.map(row => `The policy fifo answers more than half of the requests of light organisations at ${describe(row)}: the bench does not reproduce the overload.`),
		],
	};
}
