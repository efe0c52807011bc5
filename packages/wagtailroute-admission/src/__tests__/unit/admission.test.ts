/**
Tests of admission control: tables of cases, and property tests against invariants and a naive max-min division.
*/
import test from 'ava';
import * as fastCheck from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as admission from '../../index.ts';

const SEED = 71;
const LIMITS: admission.AdmissionLimits = {concurrency: 4, queueMilliseconds: 100};

type Controller = admission.AdmissionController;

function createWarmController(limits: Partial<admission.AdmissionLimits> = {}): Controller {
	const controller = admission.createAdmissionController({...LIMITS, ...limits}, 0);
	// One answer sets the usual latency to 10 ms.
	controller.request({organisation: 'first', now: 0, deadline: 1000});
	controller.release({
		organisation: 'first', now: 0, latencyMilliseconds: 10, ending: 'completed',
	});
	return controller;
}

function request(controller: Controller, organisation: string, count: number, deadline = 1000): string[] {
	return Array.from({length: count}, () => describe(controller.request({organisation, now: 0, deadline})));
}

function describe(decision: admission.AdmissionDecision): string {
	return decision.kind === 'refused' ? decision.failure : decision.kind;
}

const CASES: ReadonlyArray<{
	readonly title: string;
	readonly limits?: Partial<admission.AdmissionLimits>;
	readonly requested: ReadonlyArray<readonly [organisation: string, count: number, deadline?: number]>;
	readonly expected: string;
}> = [
	{title: 'a request is admitted when a slot is free', requested: [['a', 4]], expected: 'admitted'},
	{title: 'a request is queued when no slot is free', requested: [['a', 5]], expected: 'queued'},
	{
		title: 'a request is refused at once when its wait would exceed the queue limit', limits: {queueMilliseconds: 9}, requested: [['a', 8]], expected: 'queue-too-long',
	},
	{
		title: 'a request of another organisation waits less and is queued', limits: {queueMilliseconds: 9}, requested: [['a', 8], ['b', 1]], expected: 'queued',
	},
	{title: 'a request is refused at once when its wait would exceed its deadline', requested: [['a', 4], ['a', 1, 11]], expected: 'deadline-before-send'},
	{title: 'a request whose deadline has passed is refused', requested: [['a', 1, 0]], expected: 'deadline-before-send'},
	{
		title: 'a request over the rate limit waits for a token', limits: {ratePerSecond: 20}, requested: [['a', 3]], expected: 'queued',
	},
	{
		title: 'a request far over the rate limit is refused', limits: {ratePerSecond: 20}, requested: [['a', 5]], expected: 'over-rate',
	},
	{
		title: 'a request over its organisation\'s share is queued although slots are free', limits: {perOrganisationShare: 0.5}, requested: [['a', 3]], expected: 'queued',
	},
	{
		title: 'requests that wait for their organisation\'s share do not delay other organisations', limits: {perOrganisationShare: 0.5}, requested: [['a', 4], ['b', 2]], expected: 'admitted',
	},
	{
		title: 'a request far over its organisation\'s share is refused', limits: {perOrganisationShare: 0.25}, requested: [['a', 13]], expected: 'over-share',
	},
	{
		title: 'a full queue refuses the organisation with the most waiting', limits: {maxWaiting: 3}, requested: [['a', 8]], expected: 'queue-full',
	},
	{
		title: 'a full queue evicts a request to queue one of another organisation', limits: {maxWaiting: 3}, requested: [['a', 8], ['b', 1]], expected: 'queued',
	},
	{
		title: 'no request is admitted without a share of the limit', limits: {concurrency: 0}, requested: [['a', 1]], expected: 'queue-too-long',
	},
];

for (const {title, limits, requested, expected} of CASES) {
	test(title, t => {
		const controller = admission.createAdmissionController({...LIMITS, ...limits}, 0);
		const warm = limits?.concurrency === 0 || limits?.ratePerSecond !== undefined ? controller : createWarmController(limits);
		t.is(requested.flatMap(([organisation, count, deadline]) => request(warm, organisation, count, deadline)).at(-1), expected);
	});
}

// Guards against callers that time out in the queue: when all slots hang, a waiting request is refused at the queue limit,
// long before its deadline.
test('a request is refused when the queue limit has passed', t => {
	const controller = createWarmController();
	request(controller, 'a', 5);
	t.deepEqual(controller.tick(100), []);
	t.deepEqual(controller.tick(101).map(({result}) => describe(result)), ['queue-too-long']);
	t.is(controller.getStatus().waiting, 0);
});

// Guards against a service that refuses every request after a slow period: with a usual latency of 500 ms, requests with
// deadlines of 200 ms are refused although they could start at once, and no new answer corrects the usual latency.
test('a slow period does not block the service', t => {
	const controller = admission.createAdmissionController(LIMITS, 0);
	controller.request({organisation: 'a', now: 0, deadline: 1000});
	controller.release({
		organisation: 'a', now: 500, latencyMilliseconds: 500, ending: 'completed',
	});
	t.is(controller.request({organisation: 'a', now: 500, deadline: 700}).kind, 'admitted');
});

// Guards against wrong counts after requests, releases, cancellations, ticks and changed limits in any order: more requests in
// flight than the limit, a waiting request that is resolved twice or never, or growing memory.
test('limits hold and every waiting request is resolved once', t => {
	let requests = 0;
	fastCheck.assert(fastCheck.property(fastCheck.integer({min: 1}), seed => {
		const random = utils.createRandom(seed);
		const controller = admission.createAdmissionController({...LIMITS, perOrganisationShare: 0.5, maxWaiting: 6}, 0);
		const running: string[] = [];
		const waiting = new Set<admission.Ticket>();
		let cap = 4;
		let now = 0;
		const applyResolutions = (resolutions: readonly admission.TicketResolution[]) => {
			for (const {ticket, result} of resolutions) {
				utils.invariant(waiting.delete(ticket), 'a request is resolved only while it waits, and only once');
				utils.invariant(result.kind === 'refused' || ticket.latestStart >= now, 'an expired request must not start');
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
				const decision = controller.request({organisation, now, deadline: now + (random() * 200)});
				if (decision.kind === 'admitted') {
					running.push(organisation);
				} else if (decision.kind === 'queued') {
					waiting.add(decision.ticket);
				}
			} else if (action < 0.85 && running.length > 0) {
				const [organisation] = running.splice(utils.pickIndex(random, running.length), 1);
				applyResolutions(controller.release({
					organisation: organisation!, now, latencyMilliseconds: random() * 40, ending: 'completed',
				}));
			} else if (action < 0.9) {
				const [ticket] = waiting;
				utils.invariant(ticket === undefined || controller.cancel(ticket) === waiting.delete(ticket), 'cancel must return whether the request waited');
			} else if (action < 0.95) {
				cap = 1 + utils.pickIndex(random, 6);
				applyResolutions(controller.setLimits({
					...LIMITS, concurrency: cap, perOrganisationShare: 0.5, maxWaiting: 6,
				}, now));
			}

			applyResolutions(controller.tick(now));
			const status = controller.getStatus();
			utils.invariant(status.inFlight === running.length, 'inFlight must equal the running requests');
			utils.invariant(status.waiting === waiting.size && waiting.size <= 6, 'waiting must equal the waiting requests and be at most 6');
			utils.invariant(running.length <= Math.max(cap, before), 'no request may start above the limit');
			const active = new Set([...running, ...waiting.values().map(({organisation}) => organisation)]);
			utils.invariant(status.activeOrganisations === active.size, 'activeOrganisations must equal the organisations with requests running or waiting');
		}
	}), {seed: SEED, numRuns: 2000});
	t.log(`seed ${SEED}: 2000 runs, ${requests} requests`);
	t.true(requests > 50_000);
});

// Computes the max-min division from all demands: raises all shares together until each demand is met or the amount is spent.
function computeMaxMinShares(amount: number, demands: readonly number[]): number[] {
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

// Guards against an order that favours the organisations with most requests. Five organisations have constant demands, in most
// runs above the capacity; the queue must reach the max-min division.
test('the queue serves organisations by the max-min division', t => {
	const rounds = 400;
	let compared = 0;
	const servedPerRound = 10;
	fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.integer({min: 0, max: 12}), {minLength: 5, maxLength: 5}), demands => {
		const queue = admission.createFairQueue();
		const served = demands.map(() => 0);
		for (let round = 0; round < rounds; round++) {
			for (const [index, demand] of demands.entries()) {
				const room = Math.max(0, 24 - queue.countWaitingOf(String(index)));
				for (let count = 0; count < Math.min(room, demand); count++) {
					queue.enqueue({organisation: String(index), latestStart: 0, isLimitedByDeadline: false});
				}
			}

			const started = Array.from({length: servedPerRound}, () => queue.dequeue(Infinity));
			const organisations = started.filter(ticket => ticket !== undefined).map(ticket => ticket.organisation);
			for (const organisation of organisations) {
				served[Number(organisation)]! += 1;
				queue.end(organisation, 1);
			}
		}

		const fair = computeMaxMinShares(servedPerRound, demands);
		for (const [index, count] of served.entries()) {
			compared++;
			const difference = Math.abs((count / rounds) - fair[index]!);
			utils.invariant(difference < 0.25, `${JSON.stringify(demands)}: ${JSON.stringify(served)}, fair ${JSON.stringify(fair)}`);
		}
	}), {seed: SEED, numRuns: 200});
	t.is(compared, 1000);
});

// Guards against a limit that does not follow latency, with throughput but no goodput. The cap is five times the slots of the
// backend servers, whose latency grows with the requests in flight.
test('the limit falls to the slots of the backend servers, and grows with them', t => {
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

test('the rate limit holds over time', t => {
	const rate = admission.createRateLimit(50, 0);
	let started = 0;
	for (let now = 0; now < 10_000; now += 3) {
		if (!rate.hasToken(now)) {
			continue;
		}

		rate.consumeTokens(now);
		started++;
	}

	t.true(started >= 499 && started <= 505, String(started));
	t.is(admission.createRateLimit(10, 0).getDelay(3, 0), 200);
});

const LIMIT_CHANGES: ReadonlyArray<{
	readonly title: string;
	readonly before: {readonly concurrency: number; readonly slots: number};
	readonly after: {readonly concurrency: number; readonly slots: number};
	readonly limits: readonly [before: number, after: number];
}> = [
	{
		title: 'a larger share raises a limit that was at the cap', before: {concurrency: 4, slots: 24}, after: {concurrency: 20, slots: 24}, limits: [4, 20],
	},
	{
		title: 'a larger share does not change a limit below the cap', before: {concurrency: 40, slots: 24}, after: {concurrency: 80, slots: 24}, limits: [24, 24],
	},
	{
		title: 'more slots raise the limit', before: {concurrency: 100, slots: 24}, after: {concurrency: 100, slots: 48}, limits: [24, 48],
	},
	{
		title: 'a smaller share lowers the limit', before: {concurrency: 100, slots: 24}, after: {concurrency: 5, slots: 24}, limits: [24, 5],
	},
	{
		title: 'the limit starts at the number of the first slots', before: {concurrency: 1, slots: 0}, after: {concurrency: 100, slots: 24}, limits: [1, 24],
	},
	{
		title: 'the limit starts at the number of slots when the first share arrives', before: {concurrency: 0, slots: 24}, after: {concurrency: 100, slots: 24}, limits: [0, 24],
	},
];

for (const {title, before, after, limits} of LIMIT_CHANGES) {
	test(title, t => {
		// Guards against a limit that doubles under overload: waiting requests increase the host's demand, a larger share raises
		// the cap, and every higher cap was treated as additional slots.
		const controller = admission.createAdmissionController({...before, queueMilliseconds: 100}, 0);
		t.is(controller.getStatus().limit, limits[0]);
		controller.setLimits({...after, queueMilliseconds: 100}, 0);
		t.is(controller.getStatus().limit, limits[1]);
	});
}
