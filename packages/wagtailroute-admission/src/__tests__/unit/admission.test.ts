/**
Tables of cases for admission, and seeded runs against invariants and a naive division.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as admission from '../../index.ts';

const SEED = 71;
const LIMITS: admission.AdmissionLimits = {concurrency: 4, queueMilliseconds: 100};

type Gate = admission.Admission;

function open(limits: Partial<admission.AdmissionLimits> = {}): Gate {
	const gate = admission.createAdmission({...LIMITS, ...limits}, 0);
	// One answer of 10 ms tells the usual latency.
	gate.request({organisation: 'first', now: 0, deadline: 1000});
	gate.release({
		organisation: 'first', now: 0, latencyMilliseconds: 10, ending: 'completed',
	});
	return gate;
}

function ask(gate: Gate, organisation: string, count: number, deadline = 1000): string[] {
	return Array.from({length: count}, () => describe(gate.request({organisation, now: 0, deadline})));
}

function describe(answer: admission.Admittance): string {
	return answer.kind === 'refused' ? answer.failure : answer.kind;
}

const CASES: ReadonlyArray<{
	readonly title: string;
	readonly limits?: Partial<admission.AdmissionLimits>;
	readonly asked: ReadonlyArray<readonly [organisation: string, count: number, deadline?: number]>;
	readonly answer: string;
}> = [
	{title: 'a free slot admits', asked: [['a', 4]], answer: 'admitted'},
	{title: 'no free slot queues', asked: [['a', 5]], answer: 'queued'},
	{
		title: 'a wait beyond the queue is refused at once', limits: {queueMilliseconds: 9}, asked: [['a', 8]], answer: 'queue-too-long',
	},
	{
		title: 'another organisation waits less', limits: {queueMilliseconds: 9}, asked: [['a', 8], ['b', 1]], answer: 'queued',
	},
	{title: 'a wait beyond the deadline is refused at once', asked: [['a', 4], ['a', 1, 11]], answer: 'deadline-before-send'},
	{title: 'a deadline that has passed is refused', asked: [['a', 1, 0]], answer: 'deadline-before-send'},
	{
		title: 'over the rate waits for a token', limits: {ratePerSecond: 20}, asked: [['a', 3]], answer: 'queued',
	},
	{
		title: 'far over the rate is refused', limits: {ratePerSecond: 20}, asked: [['a', 5]], answer: 'over-rate',
	},
	{
		title: 'a share leaves slots to others', limits: {perOrganisationShare: 0.5}, asked: [['a', 3]], answer: 'queued',
	},
	{
		title: 'who waits for its own share holds nobody up', limits: {perOrganisationShare: 0.5}, asked: [['a', 4], ['b', 2]], answer: 'admitted',
	},
	{
		title: 'far over a share is refused', limits: {perOrganisationShare: 0.25}, asked: [['a', 13]], answer: 'over-share',
	},
	{
		title: 'a full queue refuses the one with the most waiting', limits: {maxWaiting: 3}, asked: [['a', 8]], answer: 'queue-full',
	},
	{
		title: 'a full queue makes room for another', limits: {maxWaiting: 3}, asked: [['a', 8], ['b', 1]], answer: 'queued',
	},
	{
		title: 'without a share of the limit nothing starts', limits: {concurrency: 0}, asked: [['a', 1]], answer: 'queue-too-long',
	},
];

for (const {title, limits, asked, answer} of CASES) {
	test(title, t => {
		const gate = admission.createAdmission({...LIMITS, ...limits}, 0);
		const warm = limits?.concurrency === 0 || limits?.ratePerSecond !== undefined ? gate : open(limits);
		t.is(asked.flatMap(([organisation, count, deadline]) => ask(warm, organisation, count, deadline)).at(-1), answer);
	});
}

// Symptom: callers time out in the queue and learn it only then.
// Sequence: four slots hang; requests wait.
// Cause: a request held until its deadline. The queue's limit refuses it long before.
test('a request is not held beyond the queue limit', t => {
	const gate = open();
	ask(gate, 'a', 5);
	t.deepEqual(gate.tick(100), []);
	t.deepEqual(gate.tick(101).map(({result}) => describe(result)), ['queue-too-long']);
	t.is(gate.getStatus().waiting, 0);
});

// Symptom: after a slow spell a service refuses everything for ever.
// Sequence: answers of 500 ms; then callers with deadlines of 200 ms, who could be served again.
// Cause: the usual latency, which no new answer corrects, asked of requests that could start at once.
test('a slow spell does not shut the service', t => {
	const gate = admission.createAdmission(LIMITS, 0);
	gate.request({organisation: 'a', now: 0, deadline: 1000});
	gate.release({
		organisation: 'a', now: 500, latencyMilliseconds: 500, ending: 'completed',
	});
	t.is(gate.request({organisation: 'a', now: 500, deadline: 700}).kind, 'admitted');
});

// Symptom: more in flight than the limit, a waiting request told twice or never, memory that grows.
// Sequence: requests, releases, cancellations, ticks and changed limits in any order.
// Cause: counts that go astray.
test('limits hold and every waiting request is told once', t => {
	let requests = 0;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1}), seed => {
		const random = utils.createRandom(seed);
		const gate = admission.createAdmission({...LIMITS, perOrganisationShare: 0.5, maxWaiting: 6}, 0);
		const running: string[] = [];
		const waiting = new Set<admission.Ticket>();
		let cap = 4;
		let now = 0;
		const take = (changes: readonly admission.TicketChange[]) => {
			for (const {ticket, result} of changes) {
				utils.invariant(waiting.delete(ticket), 'a request is told once');
				utils.invariant(result.kind === 'refused' || ticket.latestStart >= now, 'a late request is not started');
				if (result.kind === 'admitted') {
					running.push(ticket.organisation);
				}
			}
		};

		for (let step = 0; step < 100; step++) {
			now += random() * 5;
			const action = random();
			const before = running.length;
			if (action < 0.5) {
				requests++;
				const organisation = `o${utils.pickIndex(random, 4)}`;
				const answer = gate.request({organisation, now, deadline: now + (random() * 200)});
				if (answer.kind === 'admitted') {
					running.push(organisation);
				} else if (answer.kind === 'queued') {
					waiting.add(answer.ticket);
				}
			} else if (action < 0.85 && running.length > 0) {
				const [organisation] = running.splice(utils.pickIndex(random, running.length), 1);
				take(gate.release({
					organisation: organisation!, now, latencyMilliseconds: random() * 40, ending: 'completed',
				}));
			} else if (action < 0.9) {
				const [ticket] = waiting;
				utils.invariant(ticket === undefined || gate.cancel(ticket) === waiting.delete(ticket), 'it waited');
			} else if (action < 0.95) {
				cap = 1 + utils.pickIndex(random, 6);
				take(gate.setLimits({
					...LIMITS, concurrency: cap, perOrganisationShare: 0.5, maxWaiting: 6,
				}, now));
			}

			take(gate.tick(now));
			const status = gate.getStatus();
			utils.invariant(status.inFlight === running.length, 'in flight is counted');
			utils.invariant(status.waiting === waiting.size && waiting.size <= 6, 'waiting is counted');
			utils.invariant(running.length <= Math.max(cap, before), 'nothing starts above the limit');
			const active = new Set([...running, ...waiting.values().map(({organisation}) => organisation)]);
			utils.invariant(status.activeOrganisations === active.size, 'only active organisations are held');
		}
	}), {seed: SEED, numRuns: 2000});
	t.log(`seed ${SEED}: 2000 runs, ${requests} requests`);
	t.true(requests > 50_000);
});

// The naive division knows all demands: it raises everyone's share together until the demand is met or all is given.
function divideNaively(amount: number, demands: readonly number[]): number[] {
	const shares = demands.map(() => 0);
	for (let left = amount; left > 0.01;) {
		const unmet = demands.map((_demand, index) => index).filter(index => shares[index]! < demands[index]!);
		const equal = Math.min(left / unmet.length, 0.5);
		if (unmet.length === 0) {
			break;
		}

		for (const index of unmet) {
			const step = Math.min(demands[index]! - shares[index]!, equal);
			shares[index]! += step;
			left -= step;
		}
	}

	return shares;
}

// Symptom: an organisation that asks for little is refused because another asks for much.
// Sequence: five organisations with steady demands, together above what is served.
// Cause: an order that follows who asks most. The queue must come to the max-min division.
test('service follows the max-min division', t => {
	const rounds = 400;
	let compared = 0;
	const servedPerRound = 10;
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({min: 0, max: 12}), {minLength: 5, maxLength: 5}), demands => {
		const queue = admission.createFairQueue();
		const served = demands.map(() => 0);
		for (let round = 0; round < rounds; round++) {
			for (const [index, demand] of demands.entries()) {
				const room = Math.max(0, 24 - queue.getWaitingOf(String(index)));
				for (let count = 0; count < Math.min(room, demand); count++) {
					queue.enqueue({organisation: String(index), latestStart: 0, isByDeadline: false});
				}
			}

			const started = Array.from({length: servedPerRound}, () => queue.dequeue(Infinity));
			const organisations = started.filter(ticket => ticket !== undefined).map(ticket => ticket.organisation);
			for (const organisation of organisations) {
				served[Number(organisation)]! += 1;
				queue.end(organisation, 1);
			}
		}

		const fair = divideNaively(servedPerRound, demands);
		for (const [index, count] of served.entries()) {
			compared++;
			const difference = Math.abs((count / rounds) - fair[index]!);
			utils.invariant(difference < 0.25, `${JSON.stringify(demands)}: ${JSON.stringify(served)}, fair ${JSON.stringify(fair)}`);
		}
	}), {seed: SEED, numRuns: 200});
	t.is(compared, 1000);
});

// Symptom: throughput without goodput; all answers come after their deadlines.
// Sequence: the cap is five times what the backend servers hold, and their latency grows with what is sent.
// Cause: a limit that does not follow latency.
test('the limit comes down to what is served at the least latency, and up again', t => {
	const limit = admission.createConcurrencyLimit(100);
	const run = (slots: number, from: number, to: number) => {
		for (let now = from; now < to; now += 1) {
			const inFlight = limit.getLimit();
			limit.record({
				ending: 'completed', latencyMilliseconds: 10 * Math.max(1, inFlight / slots), inFlight, now,
			});
		}

		return limit.getLimit();
	};

	const low = run(20, 0, 60_000);
	t.true(low >= 18 && low <= 36, String(low));
	const high = run(60, 60_000, 120_000);
	t.true(high >= 50 && high <= 100, String(high));
});

test('a rate is kept over time', t => {
	const rate = admission.createRateLimit(50, 0);
	let started = 0;
	for (let now = 0; now < 10_000; now += 3) {
		if (!rate.hasToken(now)) {
			continue;
		}

		rate.takeToken(now);
		started++;
	}

	t.true(started >= 499 && started <= 505, String(started));
	t.is(admission.createRateLimit(10, 0).getDelay(3, 0), 200);
});

const CAPS: ReadonlyArray<{
	readonly title: string;
	readonly before: {readonly concurrency: number; readonly slots: number};
	readonly after: {readonly concurrency: number; readonly slots: number};
	readonly limits: readonly [before: number, after: number];
}> = [
	{
		title: 'a share that rises takes a limit along that only the share had set', before: {concurrency: 4, slots: 24}, after: {concurrency: 20, slots: 24}, limits: [4, 20],
	},
	{
		title: 'a share that rises leaves a limit below it alone', before: {concurrency: 40, slots: 24}, after: {concurrency: 80, slots: 24}, limits: [24, 24],
	},
	{
		title: 'slots that grow take the limit along', before: {concurrency: 100, slots: 24}, after: {concurrency: 100, slots: 48}, limits: [24, 48],
	},
	{
		title: 'a share that shrinks bounds the limit', before: {concurrency: 100, slots: 24}, after: {concurrency: 5, slots: 24}, limits: [24, 5],
	},
	{
		title: 'the first slots are where the limit starts', before: {concurrency: 1, slots: 0}, after: {concurrency: 100, slots: 24}, limits: [1, 24],
	},
	{
		title: 'the first share too', before: {concurrency: 0, slots: 24}, after: {concurrency: 100, slots: 24}, limits: [0, 24],
	},
];

for (const {title, before, after, limits} of CAPS) {
	test(title, t => {
		// Symptom: under overload the limit that latency had found doubles. Sequence: what waits makes the host ask for a
		// larger share, the share raises the cap. Cause: every cap that rose was taken to bring slots.
		const gate = admission.createAdmission({...before, queueMilliseconds: 100}, 0);
		t.is(gate.getStatus().limit, limits[0]);
		gate.setLimits({...after, queueMilliseconds: 100}, 0);
		t.is(gate.getStatus().limit, limits[1]);
	});
}
