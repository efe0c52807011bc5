/**
Tests of the allotment limiter of one dispatcher, and of several dispatchers that exchange usage reports.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as allotments from '../../index.ts';
import {
	createLimiter,
	type LimiterFactory,
	simulate,
	type Simulation,
} from './simulation.ts';

const PARISH = {organisation: 'parish', ratePerSecond: 10, burst: 10};

function create(changes: Partial<allotments.AllotmentSettings> = {}): allotments.AllotmentLimiter {
	const limiter = allotments.createAllotmentLimiter({
		slack: 20, windowMilliseconds: 5000, getShare: () => 1, isReceivingReports: true, random: () => 0.5, ...changes,
	}, 0);
	limiter.setAllotments([PARISH], 0);
	return limiter;
}

function applyReport(limiter: allotments.AllotmentLimiter, services: readonly string[], uses: readonly allotments.Usage[], at: number): void {
	limiter.applyReport({at, services, uses}, {at, now: at});
}

/**
Sends requests at one time and returns how many are admitted.
*/
function countAdmitted(limiter: allotments.AllotmentLimiter, requests: number, {at, service = 'archive', organisation = 'parish'}: {
	readonly at: number;
	readonly service?: string;
	readonly organisation?: string;
}): number {
	let admitted = 0;
	for (let request = 0; request < requests; request++) {
		admitted += limiter.admit(organisation, service, at).kind === 'admitted' ? 1 : 0;
	}

	return admitted;
}

test('an organisation that sent nothing may send its burst and a fraction of the slack at once, then slightly more than its rate', t => {
	const limiter = create();
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 18);
	t.is(countAdmitted(limiter, 100, {at: 11_000}), 11);
});

test('an organisation that continuously sends too much gets its rate and most of its burst in every window', t => {
	// Guards against refusing too many requests after an organisation has used its burst once: only the rate was admitted from then on, although each window may
	// hold the rate and the burst.
	const limiter = create();
	const admittedAt: number[] = [];
	for (let at = 10_000; at < 40_000; at += 10) {
		if (countAdmitted(limiter, 1, {at}) === 1) {
			admittedAt.push(at);
		}
	}

	for (let start = 10_000; start <= 35_000; start += 100) {
		const inWindow = admittedAt.filter(at => at >= start && at < start + 5000).length;
		// After the first burst the window stays full until the burst leaves it.
		const least = start < 20_000 ? 45 : 54;
		t.true(inWindow >= least && inWindow <= 68, `${start}: ${inWindow}`);
	}
});

test('a refusal states when the next token is available, and the requests used', t => {
	const limiter = create();
	countAdmitted(limiter, 18, {at: 10_000});
	t.like(limiter.admit('parish', 'archive', 10_000), {
		kind: 'refused', ratePerSecond: 10, used: 18, reportAgeMilliseconds: undefined,
	});
	t.is(limiter.admit('parish', 'archive', 10_080).kind, 'refused');
	t.is(limiter.admit('parish', 'archive', 10_090).kind, 'admitted');
});

const UNLIMITED_CASES = [
	{name: 'an unknown organisation', organisation: 'other'},
	{name: 'an organisation without a rate', organisation: 'friends'},
] as const;

for (const {name, organisation} of UNLIMITED_CASES) {
	test(`${name} is not limited, and not reported to other dispatchers`, t => {
		const limiter = create();
		limiter.setAllotments([PARISH, {organisation: 'friends', ratePerSecond: 0, burst: 0}], 0);
		t.is(countAdmitted(limiter, 1000, {at: 10_000, organisation}), 1000);
		t.is(limiter.collectReport(10_000), undefined);
	});
}

test('a bucket starts nearly empty', t => {
	// Guards against admitting a burst twice within a second, before and after a restart of all dispatchers: a dispatcher that has just started cannot know what
	// was used, so its bucket must not be full.
	t.is(countAdmitted(create(), 100, {at: 0}), 8);
});

test('the token of a request that was granted no slot is refunded', t => {
	const limiter = create();
	countAdmitted(limiter, 20, {at: 10_000});
	limiter.refund('parish', 'archive', 10_000);
	t.is(countAdmitted(limiter, 5, {at: 10_000}), 1);
});

test('requests that other dispatchers admitted are deducted from the bucket', t => {
	const limiter = create();
	applyReport(limiter, ['media'], [['media', 'parish', 15]], 10_000);
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 3);
});

test('a host that was suspended deducts reports as of the time when they were sent', t => {
	// Guards against refusing nearly all requests for seconds after a freeze: another dispatcher reported every 0.2 s meanwhile, 6 of 10 requests a second, and
	// all reports arrived at once, so that four seconds of usage were deducted from one bucket.
	const limiter = create();
	countAdmitted(limiter, 1, {at: 10_000});
	for (let at = 10_200; at <= 14_000; at += 200) {
		limiter.applyReport({at, services: ['archive'], uses: [['archive', 'parish', 1.2]]}, {at, now: 14_000});
	}

	t.is(countAdmitted(limiter, 100, {at: 14_000}), 16);
});

test('of delayed reports only the last half second is deducted from a bucket that was used before they arrived', t => {
	const limiter = create();
	countAdmitted(limiter, 1, {at: 14_000});
	for (let at = 10_200; at <= 14_000; at += 200) {
		limiter.applyReport({at, services: ['archive'], uses: [['archive', 'parish', 1.2]]}, {at, now: 14_000});
	}

	t.is(countAdmitted(limiter, 100, {at: 14_000}), 13);
});

const CLOCK_CASES = [
	{
		name: 'a message with the usual delay', sentAt: 2000, now: 5000, converted: 5000,
	},
	{
		name: 'a delayed message', sentAt: 2000, now: 9000, converted: 5000,
	},
	{
		name: 'a faster message', sentAt: 2000, now: 4990, converted: 4990,
	},
] as const;

for (const {name, sentAt, now, converted} of CLOCK_CASES) {
	test(`the time of ${name} is converted`, t => {
		const clocks = allotments.createSenderClocks();
		const sender = {};
		t.is(clocks.convert(sender, 1000, 4000), 4000);
		t.is(clocks.convert(sender, sentAt, now), converted);
		t.is(clocks.convert({}, sentAt, now), now);
	});
}

test('admitted requests are reported once, and a service without usage is listed', t => {
	const limiter = create();
	countAdmitted(limiter, 3, {at: 10_000});
	t.deepEqual(limiter.collectReport(10_100), {at: 10_100, services: ['archive'], uses: [['archive', 'parish', 3]]});
	t.deepEqual(limiter.collectReport(10_200), {at: 10_200, services: ['archive'], uses: []});
	t.is(limiter.collectReport(12_000), undefined);
});

test('a report is urgent after many requests', t => {
	const limiter = create();
	const urgent = Array.from({length: 8}, () => limiter.admit('parish', 'archive', 10_000)).map(admission => admission.kind === 'admitted' && admission.isReportUrgent);
	t.deepEqual(urgent, [false, false, false, false, false, true, true, true]);
});

test('a dispatcher that misses the reports on a service leaves that service its fraction', t => {
	// Guards against admitting twice the rate while the dispatchers of two services are cut off from each other: each one admitted the whole rate, since it
	// received no reports of the other.
	const limiter = create();
	for (let at = 10_000; at < 15_000; at += 200) {
		t.is(countAdmitted(limiter, 1, {at}), 1);
		applyReport(limiter, ['media'], [['media', 'parish', 1]], at);
	}

	countAdmitted(limiter, 100, {at: 16_000});
	t.is(countAdmitted(limiter, 100, {at: 16_000}), 0);
	t.is(countAdmitted(limiter, 100, {at: 17_000}), 4, 'eight tenths of half of the rate');
	t.is(countAdmitted(limiter, 100, {at: 18_000}), 4);
	applyReport(limiter, ['media'], [], 18_000);
	t.is(countAdmitted(limiter, 100, {at: 18_000}), 0);
	t.is(countAdmitted(limiter, 100, {at: 18_400}), 4, 'the whole rate after a report');
});

test('an organisation that used only other services is not shut out by a network partition', t => {
	// Guards against a refusal with an infinite retry delay: an organisation used one service and turns to another, whose dispatcher is cut off from that of the
	// first. Its fraction there was zero.
	const limiter = create();
	for (let at = 10_000; at < 15_000; at += 200) {
		applyReport(limiter, ['media'], [['media', 'parish', 2]], at);
	}

	countAdmitted(limiter, 100, {at: 20_000});
	const refusal = limiter.admit('parish', 'archive', 20_000);
	t.is(refusal.kind, 'refused');
	t.true(refusal.kind === 'refused' && refusal.retryAfterMilliseconds <= 5000);
	t.is(countAdmitted(limiter, 100, {at: 24_000}), 1);
});

test('the new dispatcher of a service reserves nothing for the previous one', t => {
	// Guards against refusals within an allotment after the dispatcher of a service failed: its successor treated it as cut off and reserved its fraction.
	const limiter = create();
	for (let at = 10_000; at < 15_000; at += 200) {
		applyReport(limiter, ['archive'], [['archive', 'parish', 1]], at);
	}

	let admitted = 0;
	for (let at = 16_000; at < 20_000; at += 160) {
		admitted += countAdmitted(limiter, 1, {at});
	}

	t.is(admitted, 25);
});

test('a lower limit applies at once', t => {
	const limiter = create();
	countAdmitted(limiter, 1, {at: 10_000});
	limiter.setAllotments([{...PARISH, ratePerSecond: 2, burst: 2}], 10_000);
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 10, 'the lower burst and a fraction of the slack');
	t.is(countAdmitted(limiter, 100, {at: 11_000}), 2);
});

test('many hosts that each dispatch alone admit in total no more than the rate and the slack', t => {
	const hosts = 116;
	const random = utils.createRandom(1);
	const limiters = Array.from({length: hosts}, () => create({getShare: () => 1 / hosts, isReceivingReports: false, random}));
	let admitted = 0;
	for (let at = 0; at < 5000; at += 10) {
		for (const limiter of limiters) {
			limiter.addLoan({milliseconds: 10, isBurstLent: false, hostShare: 1 / hosts}, at);
			admitted += countAdmitted(limiter, 1, {at});
		}
	}

	// 5 s of the rate, and half of the slack.
	t.true(admitted >= 40 && admitted <= 60, String(admitted));
});

test('a host that dispatched long ago discards its earlier state', t => {
	const limiter = create({isReceivingReports: false});
	countAdmitted(limiter, 1, {at: 0});
	t.is(countAdmitted(limiter, 100, {at: 60_000}), 8);
});

const PAST_USAGE_CASES = [
	{
		name: 'one entry host of four', share: 0.25, usage: undefined, admitted: 2,
	},
	{
		name: 'one entry host of four that reported no usage', share: 0.25, usage: [], admitted: 4,
	},
	{
		name: 'all entry hosts, which reported no usage', share: 1, usage: [], admitted: 18,
	},
	{
		name: 'all entry hosts, which reported the usage of all but five', share: 1, usage: [['archive', 'parish', 63, 1000]], admitted: 5,
	},
	{
		name: 'all entry hosts, which reported usage of another service', share: 1, usage: [['media', 'parish', 63, 1000]], admitted: 5,
	},
] as const;

for (const {name, share, usage, admitted} of PAST_USAGE_CASES) {
	test(`a dispatcher that takes over admits what is left of the share of ${name}`, t => {
		// Guards against a burst that is admitted by a dispatcher that fails, and again by its successor.
		const limiter = create({getShare: () => share, isReceivingReports: false});
		if (usage !== undefined) {
			limiter.applyPastUsage(usage, 10_000);
			limiter.addLoan({milliseconds: 0, isBurstLent: true, hostShare: share}, 10_000);
		}

		t.is(countAdmitted(limiter, 100, {at: 10_000}), admitted);
	});
}

test('two dispatchers that receive requests for one service each admit what the other has left', t => {
	// Guards against refusals within an allotment: entry hosts that restart one after the other use another dispatcher for a moment each, and all others got less meanwhile.
	const limiter = create({getShare: () => 0.5});
	countAdmitted(limiter, 100, {at: 10_000});
	applyReport(limiter, ['archive'], [['archive', 'parish', 3]], 11_000);
	t.is(countAdmitted(limiter, 100, {at: 11_000}), 8);
	applyReport(limiter, ['archive'], [], 11_400);
	t.is(countAdmitted(limiter, 100, {at: 12_000}), 12, 'the whole rate, and what was left');
});

test('a loan adds nothing to a dispatcher that admits the whole allotment', t => {
	// Guards against a burst that is admitted twice by one dispatcher.
	const limiter = create({getShare: () => 1});
	countAdmitted(limiter, 100, {at: 10_000});
	limiter.addLoan({milliseconds: 1000, isBurstLent: true, hostShare: 1}, 10_000);
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 0);
});

type AbsenceCase = {
	readonly name: string;
	readonly absences: readonly allotments.Absence[];
	readonly admittedBefore: number;
	readonly admitted: number;
};

/**
Expected in a window of 5 s: 10 a second, a burst of 10 and 8 tokens of the slack, 68 in total.
*/
const ABSENCE_CASES: readonly AbsenceCase[] = [
	{
		name: 'no host', absences: [], admittedBefore: 0, admitted: 68,
	},
	{
		name: 'half of the hosts, absent before the requests', absences: [{since: 9000, share: 0.5}], admittedBefore: 0, admitted: 34,
	},
	{
		name: 'half of the hosts, absent after requests of which half count as theirs', absences: [{since: 10_001, share: 0.5}], admittedBefore: 18, admitted: 25,
	},
	{
		name: 'half of the hosts, absent one after the other', absences: [{since: 9000, share: 0.25}, {since: 9500, share: 0.25}], admittedBefore: 0, admitted: 34,
	},
];

for (const {name, absences, admittedBefore, admitted} of ABSENCE_CASES) {
	test(`a control host does not admit the shares of absent hosts: ${name}`, t => {
		// Guards against admitting the whole allotment while entry hosts that are cut off from the control host admit their share too.
		const limiter = create({listAbsences: now => absences.filter(({since}) => since <= now)});
		t.is(countAdmitted(limiter, admittedBefore, {at: 10_000}), admittedBefore);
		let count = 0;
		for (let at = 10_010; at < 15_000; at += 10) {
			count += countAdmitted(limiter, 1, {at});
		}

		t.is(count, admitted);
	});
}

test('the usage of an absent host counts when it is connected again', t => {
	// Guards against a burst that is admitted again for hosts that were cut off and got theirs from other dispatchers.
	const limiter = create({listAbsences: () => []});
	countAdmitted(limiter, 0, {at: 10_000});
	limiter.applyPastUsage([['archive', 'parish', 60, 1000]], 20_000, 18_000);
	t.is(countAdmitted(limiter, 100, {at: 20_000}), 8);
});

/**
Half of the window holds 34 requests.
*/
const SIBLINGS = [
	{
		name: 'the same hosts', share: 0.5, uses: 30, left: 4,
	},
	{
		name: 'all hosts', share: 1, uses: 60, left: 4,
	},
] as const;

for (const {name, share, uses, left} of SIBLINGS) {
	test(`an entry host that dispatches for half of the hosts deducts what another one admitted for another service of ${name}`, t => {
		// Guards against a fraction that two dispatchers admit twice for two services of the same hosts.
		const limiter = create({getShare: () => 0.5, isReceivingReports: false});
		limiter.addLoan({milliseconds: 1000, isBurstLent: true, hostShare: 0.5}, 10_000);
		limiter.addLoan({milliseconds: 1000, isBurstLent: true, hostShare: 0.5}, 10_000);
		limiter.applyReport({
			at: 10_000, services: ['media'], uses: [['media', 'parish', uses]], share,
		}, {at: 10_000, now: 10_000});
		t.is(countAdmitted(limiter, 100, {at: 10_000}), left);
	});
}

const HOSTS = 10;

/**
Ten entry hosts with requests each 20 ms that go to one of three dispatchers.
*/
const LENDING_CASES = [
	{
		name: 'all ask one dispatcher', getDispatcher: () => 0,
	},
	{
		name: 'each alternates between two', getDispatcher: (_host: number, turn: number) => turn % 2,
	},
	{
		name: 'each moves on from one to the next', getDispatcher: (host: number, turn: number) => Math.floor((turn + (host * 5)) / 50) % 3,
	},
] as const;

for (const {name, getDispatcher} of LENDING_CASES) {
	test(`dispatchers that do not know of each other admit together what the entry hosts lent: ${name}`, t => {
		// Guards against an entry host whose part is admitted by every dispatcher that it asked in the last second.
		const organisation = {...PARISH, ratePerSecond: 100, burst: 50};
		const limiters = Array.from({length: 3}, () => create({getShare: () => 1, isReceivingReports: false}));
		for (const limiter of limiters) {
			limiter.setAllotments([organisation], 0);
		}

		let admitted = 0;
		for (let turn = 0; turn < 250; turn++) {
			const at = turn * 20;
			for (let host = 0; host < HOSTS; host++) {
				const limiter = limiters[getDispatcher(host, turn)]!;
				limiter.addLoan({milliseconds: 20, isBurstLent: turn === 0, hostShare: 1 / HOSTS}, at);
				admitted += countAdmitted(limiter, 5, {at});
			}
		}

		// 5 s of the rate, the burst, and 8 tokens of the slack for each dispatcher.
		t.true(admitted >= 540 && admitted <= 575, String(admitted));
	});
}

test('a dispatcher that knows only a few of the entry hosts admits no more than the rate', t => {
	// Guards against a restart of all hosts: the first entry hosts that a control host knows seem to be all there are, and each lends all its time.
	const limiter = create({getShare: () => 1});
	limiter.setAllotments([{...PARISH, ratePerSecond: 100, burst: 50}], 0);
	let admitted = 0;
	for (let known = 1; known <= 100; known++) {
		const at = known * 10;
		limiter.addLoan({milliseconds: 1000, isBurstLent: false, hostShare: 1 / known}, at);
		admitted += countAdmitted(limiter, 10, {at});
	}

	// One second of the rate and 0.3 s ahead, and 8 tokens of the slack.
	t.true(admitted >= 130 && admitted <= 138, String(admitted));
});

const RATES = [1, 5, 16, 60, 150] as const;
const DISPATCHERS = [1, 2, 3, 5, 12, 24] as const;

const simulations: fc.Arbitrary<Simulation> = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	dispatchers: fc.constantFrom(...DISPATCHERS),
	ratePerSecond: fc.constantFrom(...RATES),
	flood: fc.constantFrom(1 / 1.6, 1.5, 4.7),
});

test('the total of all dispatchers stays within the allotment through kills, freezes, partitions, restarts and moves', t => {
	fc.assert(fc.property(simulations, simulation => {
		const {excess} = simulate(simulation);
		t.true(excess <= 0, JSON.stringify({...simulation, excess}));
	}), {seed: 20_261_203, numRuns: 150});
});

test('at most 1 % of the requests of an organisation within its allotment are refused', t => {
	let sent = 0;
	let refused = 0;
	for (const dispatchers of DISPATCHERS) {
		for (let seed = 1; seed <= 20; seed++) {
			const outcome = simulate({
				seed, dispatchers, ratePerSecond: 16, flood: 1 / 1.6,
			});
			sent += outcome.sent;
			refused += outcome.refused;
		}
	}

	t.true(refused <= sent * 0.01, `${refused} of ${sent}`);
});

type Defect = {
	readonly name: string;
	readonly create: LimiterFactory;
};

/**
Limiters with one defect each, which the simulations must find.
*/
const DEFECTS: readonly Defect[] = [
	{
		name: 'ignores the reports of others',
		create: (now, random) => ({...wrap(createLimiter(now, random)), applyReport: () => undefined}),
	},
	{
		name: 'starts with a full bucket',
		create(now, random) {
			const limiter = createLimiter(now - 60_000, random);
			return wrap(limiter);
		},
	},
	{
		name: 'refunds the tokens of one request in four that ran',
		create(now, random) {
			const limiter = createLimiter(now, random);
			return {
				...wrap(limiter),
				admit(organisation, service, at) {
					const admission = limiter.admit(organisation, service, at);
					if (admission.kind === 'admitted' && random() < 0.25) {
						limiter.refund(organisation, service, at);
					}

					return admission;
				},
			};
		},
	},
];

function wrap(limiter: allotments.AllotmentLimiter): allotments.AllotmentLimiter {
	return {
		setAllotments(items, now) {
			limiter.setAllotments(items, now);
		},
		admit: (organisation, service, now) => limiter.admit(organisation, service, now),
		refund(organisation, service, now) {
			limiter.refund(organisation, service, now);
		},
		applyReport(report, time) {
			limiter.applyReport(report, time);
		},
		applyPastUsage(uses, now) {
			limiter.applyPastUsage(uses, now);
		},
		addLoan(loan, now) {
			limiter.addLoan(loan, now);
		},
		collectReport: now => limiter.collectReport(now),
	};
}

for (const {name, create: createDefective} of DEFECTS) {
	test(`a limiter that ${name} is found`, t => {
		const found = fc.check(fc.property(simulations, simulation => simulate(simulation, createDefective).excess <= 0), {seed: 1, numRuns: 150});
		t.true(found.failed);
		t.log(`after ${found.numRuns} simulations`);
	});
}
