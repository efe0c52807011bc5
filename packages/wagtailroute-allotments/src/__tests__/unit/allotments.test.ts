/**
Tests of allotments at one dispatcher, and of several that tell each other.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as allotments from '../../index.ts';
import {
	createLimiter,
	type History,
	type LimiterFactory,
	play,
} from './history.ts';

const PARISH = {organisation: 'parish', ratePerSecond: 10, burst: 10};

function create(changes: Partial<allotments.AllotmentSettings> = {}): allotments.AllotmentLimiter {
	const limiter = allotments.createAllotmentLimiter({
		slack: 20, windowMilliseconds: 5000, getShare: () => 1, isReceivingReports: true, random: () => 0.5, ...changes,
	}, 0);
	limiter.setAllotments([PARISH], 0);
	return limiter;
}

function tell(limiter: allotments.AllotmentLimiter, services: readonly string[], uses: readonly allotments.Usage[], at: number): void {
	limiter.applyReport({at, services, uses}, {at, now: at});
}

/**
Returns how many of some requests that come at once are admitted.
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

test('an organisation that was quiet may send its burst and a part of the slack at once, then a little more than its rate', t => {
	const limiter = create();
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 18);
	t.is(countAdmitted(limiter, 100, {at: 11_000}), 11);
});

test('one that sends more all the while gets its rate and most of its burst in every window', t => {
	// Symptom: an organisation that floods is refused more than its allotment asks for. Sequence: it has used its burst once and sends on. Cause: from then on
	// only the rate is given out, although each window may hold the rate and the burst.
	const limiter = create();
	const admittedAt: number[] = [];
	for (let at = 10_000; at < 40_000; at += 10) {
		if (countAdmitted(limiter, 1, {at}) === 1) {
			admittedAt.push(at);
		}
	}

	for (let start = 10_000; start <= 35_000; start += 100) {
		const inWindow = admittedAt.filter(at => at >= start && at < start + 5000).length;
		// Right after the first burst the window is full until the burst is out of it.
		const least = start < 20_000 ? 45 : 54;
		t.true(inWindow >= least && inWindow <= 68, `${start}: ${inWindow}`);
	}
});

test('a refusal tells when the next token comes, and what was used', t => {
	const limiter = create();
	countAdmitted(limiter, 18, {at: 10_000});
	t.like(limiter.admit('parish', 'archive', 10_000), {
		kind: 'refused', ratePerSecond: 10, used: 18, reportAgeMilliseconds: undefined,
	});
	t.is(limiter.admit('parish', 'archive', 10_080).kind, 'refused');
	t.is(limiter.admit('parish', 'archive', 10_090).kind, 'admitted');
});

const UNBOUND = [
	{name: 'an organisation that is unknown', organisation: 'other'},
	{name: 'an organisation without a rate', organisation: 'friends'},
] as const;

for (const {name, organisation} of UNBOUND) {
	test(`nothing bounds ${name}, and the others are told nothing of it`, t => {
		const limiter = create();
		limiter.setAllotments([PARISH, {organisation: 'friends', ratePerSecond: 0, burst: 0}], 0);
		t.is(countAdmitted(limiter, 1000, {at: 10_000, organisation}), 1000);
		t.is(limiter.collectReport(10_000), undefined);
	});
}

test('an account begins nearly empty', t => {
	// Symptom: an organisation gets its burst twice within a second. Sequence: it has used its burst, all dispatchers start again, it sends on.
	// Cause: a full account stands for "nothing was used", which a dispatcher that has just started cannot know.
	t.is(countAdmitted(create(), 100, {at: 0}), 8);
});

test('a request that was granted no place gives its token back', t => {
	const limiter = create();
	countAdmitted(limiter, 20, {at: 10_000});
	limiter.refund('parish', 'archive', 10_000);
	t.is(countAdmitted(limiter, 5, {at: 10_000}), 1);
});

test('what other dispatchers admitted is taken from the account', t => {
	const limiter = create();
	tell(limiter, ['media'], [['media', 'parish', 15]], 10_000);
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 3);
});

test('a host that stood still takes what it hears then as of when it was told', t => {
	// Symptom: a dispatcher refuses nearly everything for seconds after it was frozen. Sequence: another one dispatches meanwhile and tells each 0.2 s what it
	// admits, 6 of 10 a second; all of it arrives at the end of the freeze. Cause: four seconds of use are taken from one account at once.
	const limiter = create();
	countAdmitted(limiter, 1, {at: 10_000});
	for (let at = 10_200; at <= 14_000; at += 200) {
		limiter.applyReport({at, services: ['archive'], uses: [['archive', 'parish', 1.2]]}, {at, now: 14_000});
	}

	t.is(countAdmitted(limiter, 100, {at: 14_000}), 16);
});

test('of what was held up only the last half second is owed by an account that was asked before it heard', t => {
	const limiter = create();
	countAdmitted(limiter, 1, {at: 14_000});
	for (let at = 10_200; at <= 14_000; at += 200) {
		limiter.applyReport({at, services: ['archive'], uses: [['archive', 'parish', 1.2]]}, {at, now: 14_000});
	}

	t.is(countAdmitted(limiter, 100, {at: 14_000}), 13);
});

const CLOCKS = [
	{
		name: 'a message as quick as ever', told: 2000, now: 5000, converted: 5000,
	},
	{
		name: 'a message that was held up', told: 2000, now: 9000, converted: 5000,
	},
	{
		name: 'a quicker message', told: 2000, now: 4990, converted: 4990,
	},
] as const;

for (const {name, told, now, converted} of CLOCKS) {
	test(`the time of ${name} is converted`, t => {
		const clocks = allotments.createSenderClocks();
		const sender = {};
		t.is(clocks.convert(sender, 1000, 4000), 4000);
		t.is(clocks.convert(sender, told, now), converted);
		t.is(clocks.convert({}, told, now), now);
	});
}

test('what was admitted is told once, and a service without use is named', t => {
	const limiter = create();
	countAdmitted(limiter, 3, {at: 10_000});
	t.deepEqual(limiter.collectReport(10_100), {at: 10_100, services: ['archive'], uses: [['archive', 'parish', 3]]});
	t.deepEqual(limiter.collectReport(10_200), {at: 10_200, services: ['archive'], uses: []});
	t.is(limiter.collectReport(12_000), undefined);
});

test('a flood is told at once', t => {
	const limiter = create();
	const urgent = Array.from({length: 8}, () => limiter.admit('parish', 'archive', 10_000)).map(admission => admission.kind === 'admitted' && admission.isReportUrgent);
	t.deepEqual(urgent, [false, false, false, false, false, true, true, true]);
});

test('a dispatcher that misses the news of a service leaves that service its part', t => {
	// Symptom: an organisation gets twice its rate. Sequence: the dispatchers of its two services are cut off from each other, the organisation
	// floods both. Cause: each one gives out the whole rate, since it hears of no other use.
	const limiter = create();
	for (let at = 10_000; at < 15_000; at += 200) {
		t.is(countAdmitted(limiter, 1, {at}), 1);
		tell(limiter, ['media'], [['media', 'parish', 1]], at);
	}

	countAdmitted(limiter, 100, {at: 16_000});
	t.is(countAdmitted(limiter, 100, {at: 16_000}), 0);
	t.is(countAdmitted(limiter, 100, {at: 17_000}), 4, 'eight tenths of half of the rate');
	t.is(countAdmitted(limiter, 100, {at: 18_000}), 4);
	tell(limiter, ['media'], [], 18_000);
	t.is(countAdmitted(limiter, 100, {at: 18_000}), 0);
	t.is(countAdmitted(limiter, 100, {at: 18_400}), 4, 'heard again, the whole rate');
});

test('an organisation that used other services only is not shut out by a cut', t => {
	// Symptom: a refusal tells to come back after an infinite time. Sequence: an organisation uses one service; the dispatcher of another one is cut off from
	// that of the first; the organisation turns to the other service. Cause: its part of what was used there is nothing.
	const limiter = create();
	for (let at = 10_000; at < 15_000; at += 200) {
		tell(limiter, ['media'], [['media', 'parish', 2]], at);
	}

	countAdmitted(limiter, 100, {at: 20_000});
	const refusal = limiter.admit('parish', 'archive', 20_000);
	t.is(refusal.kind, 'refused');
	t.true(refusal.kind === 'refused' && refusal.retryAfterMilliseconds <= 5000);
	t.is(countAdmitted(limiter, 100, {at: 24_000}), 1);
});

test('whoever is asked for a service sets nothing aside for the one that dispatched it before', t => {
	// Symptom: requests are refused although their organisation is within its allotment. Sequence: the dispatcher of a service is lost, the next one
	// is asked. Cause: it takes the lost one for one that is cut off and still gives out its part.
	const limiter = create();
	for (let at = 10_000; at < 15_000; at += 200) {
		tell(limiter, ['archive'], [['archive', 'parish', 1]], at);
	}

	let admitted = 0;
	for (let at = 16_000; at < 20_000; at += 160) {
		admitted += countAdmitted(limiter, 1, {at});
	}

	t.is(admitted, 25);
});

test('a lower limit binds at once', t => {
	const limiter = create();
	countAdmitted(limiter, 1, {at: 10_000});
	limiter.setAllotments([{...PARISH, ratePerSecond: 2, burst: 2}], 10_000);
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 10, 'the lower burst and a part of the slack');
	t.is(countAdmitted(limiter, 100, {at: 11_000}), 2);
});

test('many hosts that dispatch alone give out no more than the rate and the slack together', t => {
	const hosts = 116;
	const random = utils.createRandom(1);
	const limiters = Array.from({length: hosts}, () => create({getShare: () => 1 / hosts, isReceivingReports: false, random}));
	let admitted = 0;
	for (let at = 0; at < 5000; at += 10) {
		for (const limiter of limiters) {
			admitted += countAdmitted(limiter, 1, {at});
		}
	}

	// 5 s of the rate, and half of the slack.
	t.true(admitted >= 40 && admitted <= 60, String(admitted));
});

test('a host that dispatched long ago begins anew', t => {
	const limiter = create({isReceivingReports: false});
	countAdmitted(limiter, 1, {at: 0});
	t.is(countAdmitted(limiter, 100, {at: 60_000}), 8);
});

const TAKING_OVER = [
	{
		name: 'an entry host in four that asks', share: 0.25, told: undefined, admitted: 2,
	},
	{
		name: 'one that has told that its callers used nothing', share: 0.25, told: [], admitted: 4,
	},
	{
		name: 'all of them, whose callers used nothing', share: 1, told: [], admitted: 18,
	},
	{
		name: 'all of them, whose callers used all but five', share: 1, told: [['archive', 'parish', 63, 1000]], admitted: 5,
	},
	{
		name: 'all of them, whose callers used another service', share: 1, told: [['media', 'parish', 63, 1000]], admitted: 5,
	},
] as const;

for (const {name, share, told, admitted} of TAKING_OVER) {
	test(`a dispatcher that takes over admits for ${name} what is left of their share`, t => {
		// Guards against a burst that is admitted once by the dispatcher that was lost, and once more by its successor.
		const limiter = create({getShare: () => share, isReceivingReports: false});
		if (told !== undefined) {
			limiter.applyPastUsage(told, share, 10_000);
		}

		t.is(countAdmitted(limiter, 100, {at: 10_000}), admitted);
	});
}

test('of two dispatchers that are asked for one service each admits what the other has left', t => {
	// Guards against refusals within an allotment: entry hosts that restart in turn ask another dispatcher for a moment each, and all others would get less for as long.
	const limiter = create({getShare: () => 0.5});
	countAdmitted(limiter, 100, {at: 10_000});
	tell(limiter, ['archive'], [['archive', 'parish', 3]], 11_000);
	t.is(countAdmitted(limiter, 100, {at: 11_000}), 8);
	tell(limiter, ['archive'], [], 11_400);
	t.is(countAdmitted(limiter, 100, {at: 12_000}), 12, 'the whole rate, and what was left');
});

test('who held the whole burst is brought none by entry hosts', t => {
	// Guards against a burst that is given out once more by a dispatcher that has given it out before.
	const limiter = create({getShare: () => 1});
	countAdmitted(limiter, 100, {at: 10_000});
	limiter.applyPastUsage([], 1, 10_000);
	t.is(countAdmitted(limiter, 100, {at: 10_000}), 0);
});

type AbsenceCase = {
	readonly name: string;
	readonly absences: readonly allotments.Absence[];
	readonly admittedBefore: number;
	readonly admitted: number;
};

/**
10 a second, 10 at once and 8 beyond: 68 in a window.
*/
const ABSENCES: readonly AbsenceCase[] = [
	{
		name: 'no host', absences: [], admittedBefore: 0, admitted: 68,
	},
	{
		name: 'half of the hosts, before the flood', absences: [{since: 9000, share: 0.5}], admittedBefore: 0, admitted: 34,
	},
	{
		name: 'half of the hosts, whose part of what was admitted before is their own', absences: [{since: 10_001, share: 0.5}], admittedBefore: 18, admitted: 25,
	},
	{
		name: 'half of the hosts one after the other', absences: [{since: 9000, share: 0.25}, {since: 9500, share: 0.25}], admittedBefore: 0, admitted: 34,
	},
];

for (const {name, absences, admittedBefore, admitted} of ABSENCES) {
	test(`a control host that does not hear ${name} leaves out their shares`, t => {
		// Guards against the whole allotment being given out beside the part that entry hosts give out which are cut off from it.
		const limiter = create({listAbsences: now => absences.filter(({since}) => since <= now)});
		t.is(countAdmitted(limiter, admittedBefore, {at: 10_000}), admittedBefore);
		let count = 0;
		for (let at = 10_010; at < 15_000; at += 10) {
			count += countAdmitted(limiter, 1, {at});
		}

		t.is(count, admitted);
	});
}

test('what an absent host used counts once it is back', t => {
	// Guards against a burst that is given out once more to hosts that were cut off and had theirs from others.
	const limiter = create({listAbsences: () => []});
	countAdmitted(limiter, 0, {at: 10_000});
	limiter.applyPastUsage([['archive', 'parish', 60, 1000]], 0.5, 20_000, 18_000);
	t.is(countAdmitted(limiter, 100, {at: 20_000}), 8);
});

const SIBLINGS = [
	{
		name: 'the same hosts', share: 0.5, left: 1,
	},
	{
		name: 'all hosts', share: 1, left: 5,
	},
] as const;

for (const {name, share, left} of SIBLINGS) {
	test(`an entry host that dispatches for half of the hosts takes what another admitted for another service of ${name}`, t => {
		// Guards against two thirds of a part that are given out by two dispatchers for two services of the same hosts.
		const limiter = create({getShare: () => 0.5, isReceivingReports: false});
		limiter.applyPastUsage([], 0.5, 10_000);
		limiter.applyReport({
			at: 10_000, services: ['media'], uses: [['media', 'parish', 8]], share,
		}, {at: 10_000, now: 10_000});
		t.is(countAdmitted(limiter, 100, {at: 10_000}), left);
	});
}

const RATES = [1, 5, 16, 60, 150] as const;
const DISPATCHERS = [1, 2, 3, 5, 12, 24] as const;

const histories: fc.Arbitrary<History> = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	dispatchers: fc.constantFrom(...DISPATCHERS),
	ratePerSecond: fc.constantFrom(...RATES),
	flood: fc.constantFrom(1 / 1.6, 1.5, 4.7),
});

test('the sum over all dispatchers stays within the allotment through kills, freezes, halves, restarts and moves', t => {
	fc.assert(fc.property(histories, history => {
		const {excess} = play(history);
		t.true(excess <= 0, JSON.stringify({...history, excess}));
	}), {seed: 20_261_203, numRuns: 150});
});

test('an organisation within its allotment is hardly ever refused', t => {
	let sent = 0;
	let refused = 0;
	for (const dispatchers of DISPATCHERS) {
		for (let seed = 1; seed <= 20; seed++) {
			const outcome = play({
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
Ledgers with a fault each, which the histories must find.
*/
const DEFECTS: readonly Defect[] = [
	{
		name: 'hears nothing of the others',
		create: (now, random) => ({...wrap(createLimiter(now, random)), applyReport: () => undefined}),
	},
	{
		name: 'begins with a full account',
		create(now, random) {
			const limiter = createLimiter(now - 60_000, random);
			return wrap(limiter);
		},
	},
	{
		name: 'gives back the tokens of one request in four that ran',
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
		applyReport(news, time) {
			limiter.applyReport(news, time);
		},
		applyPastUsage(uses, share, now) {
			limiter.applyPastUsage(uses, share, now);
		},
		collectReport: now => limiter.collectReport(now),
	};
}

for (const {name, create: createDefective} of DEFECTS) {
	test(`a limiter that ${name} is found`, t => {
		const found = fc.check(fc.property(histories, history => play(history, createDefective).excess <= 0), {seed: 1, numRuns: 150});
		t.true(found.failed);
		t.log(`after ${found.numRuns} histories`);
	});
}
