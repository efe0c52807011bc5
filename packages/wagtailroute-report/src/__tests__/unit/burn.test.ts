/**
Counters, copies, merge and report against a naive computation over a request log.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as report from '../../index.ts';
import {
	countLog,
	getAlerts,
	getBurnRates,
	type LogLine,
} from './naive.ts';

const SEED = 20_261_202;
const RUNS = 150;
const MINUTE = 60_000;
const HOUR = 3_600_000;
const DAY = 86_400_000;
const OBJECTIVE: report.Objective = {availability: 0.99, latencyMilliseconds: 100, windowDays: 7};
const SERVICES = ['archive', 'media'] as const;
const ENTRIES = SERVICES.map(name => ({name, owner: 'owner', objective: OBJECTIVE}));

/**
Widths of the buckets that a window is summed from, in milliseconds.
*/
const WINDOWS = [
	{span: 5 * MINUTE, width: 10_000},
	{span: 30 * MINUTE, width: 10_000},
	{span: HOUR, width: 10_000},
	{span: 6 * HOUR, width: 5 * MINUTE},
	{span: 3 * DAY, width: HOUR},
	{span: 7 * DAY, width: HOUR},
] as const;

const resultArbitrary: fc.Arbitrary<report.RequestResult> = fc.record({
	outcome: fc.constantFrom('ran', 'ran', 'ran', 'not-run', 'unknown'),
	status: fc.constantFrom(200, 404, 429, 500, 503),
	milliseconds: fc.integer({min: 1, max: 200}),
	isCancelled: fc.constantFrom(false, false, false, true),
	isFleetMade: fc.boolean(),
});

// Gaps from milliseconds to days, so that buckets of every width fill, empty and are taken over.
const gapArbitrary = fc.oneof(fc.nat(2000), fc.nat(2 * MINUTE), fc.nat(3 * HOUR), fc.nat(2 * DAY));

const logArbitrary: fc.Arbitrary<readonly LogLine[]> = fc
	.array(fc.record({gap: gapArbitrary, service: fc.constantFrom(...SERVICES), result: resultArbitrary}), {maxLength: 120})
	.map(lines => {
		let at = 0;
		return lines.map(({gap, service, result}) => {
			at += gap;
			return {at, service, result};
		});
	});

function createFilled(log: readonly LogLine[]): report.BurnCounters {
	const counters = report.createBurnCounters();
	for (const {at, service, result} of log) {
		counters.record(service, result, OBJECTIVE, at);
	}

	return counters;
}

function getEnd(log: readonly LogLine[], rest: number): number {
	return (log.at(-1)?.at ?? 0) + rest;
}

function createBurnReport(summaries: readonly report.Summary[]): report.BurnReport {
	const merging = report.createMerging();
	for (const summary of summaries) {
		merging.add(summary);
	}

	const hosts = {answered: summaries.length, copied: [], missing: []};
	return report.createReport({host: 'a', windowMilliseconds: HOUR, hosts}, merging.read(), ENTRIES);
}

const isAtMost = (left: report.Counts, right: report.Counts) => left.every((count, index) => count <= right[index]!);

test('every window is exactly the requests of its buckets, and lies between one bucket less and the whole span', t => {
	fc.assert(fc.property(logArbitrary, fc.nat(HOUR), (log, rest) => {
		const counters = createFilled(log);
		const now = getEnd(log, rest);
		for (const service of SERVICES) {
			for (const {span, width} of WINDOWS) {
				const counts = counters.getCounts(service, span, now) ?? report.VERDICTS.map(() => 0);
				const start = ((Math.floor(now / width) + 1) * width) - span;
				t.deepEqual(counts, countLog(log, service, OBJECTIVE, {from: start - 1, until: now}));
				t.true(isAtMost(counts, countLog(log, service, OBJECTIVE, {from: now - span, until: now})));
				t.true(isAtMost(countLog(log, service, OBJECTIVE, {from: now - span + width, until: now}), counts));
			}
		}
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}, ${RUNS} runs`);
});

test('the report of a fleet is that of one log, however its requests fell to the hosts', t => {
	fc.assert(fc.property(logArbitrary, fc.integer({min: 1, max: 5}), fc.nat(HOUR), (log, hosts, rest) => {
		const now = getEnd(log, rest);
		const shares = Array.from({length: hosts}, (_, host) => log.filter((_line, index) => index % hosts === host));
		const burn = createBurnReport(shares.map(share => createFilled(share).summarize(HOUR, now)));
		for (const service of burn.services) {
			const [availability, latency] = service.objectives;
			for (const [name, span] of Object.entries(report.BURN_WINDOWS)) {
				const {width} = WINDOWS.find(window => window.span === span)!;
				const start = ((Math.floor(now / width) + 1) * width) - span;
				const counts = countLog(log, service.service, OBJECTIVE, {from: start - 1, until: now});
				const rates = getBurnRates(counts, OBJECTIVE);
				t.is(availability!.burnRates[name as '1h'], rates.availability);
				t.is(latency!.burnRates[name as '1h'], rates.latency);
			}
		}

		const logged = SERVICES.filter(service => log.some(line => line.service === service));
		t.deepEqual(burn.services.map(({service}) => service).toSorted(), logged);
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}, ${RUNS} runs`);
});

// Bursts of like requests, so that windows hold more bad ones than the least number of an alert, or just about as many.
const burstsArbitrary: fc.Arbitrary<readonly LogLine[]> = fc
	.array(fc.record({gap: gapArbitrary, size: fc.integer({min: 1, max: 25}), result: resultArbitrary}), {minLength: 1, maxLength: 40})
	.map(bursts => {
		let at = 0;
		return bursts.flatMap(({gap, size, result}) => {
			at += gap;
			return Array.from({length: size}, () => ({at, service: 'archive', result}));
		});
	});

test('alerts are those of the definition, told from one log', t => {
	/*
	Symptom: a page for a few failures of a service with few requests, or none in an outage.
	Sequence: bursts of requests with failures among them, at any times.
	Cause: a burn rate made of too few requests says little; a least number asked of the wrong window or objective.
	*/
	const stood = new Map<string, number>();
	fc.assert(fc.property(burstsArbitrary, fc.nat(10 * MINUTE), (log, rest) => {
		const now = getEnd(log, rest);
		const {services} = createBurnReport([createFilled(log).summarize(HOUR, now)]);
		const count = (span: number) => {
			const {width} = WINDOWS.find(window => window.span === span)!;
			const start = ((Math.floor(now / width) + 1) * width) - span;
			return countLog(log, 'archive', OBJECTIVE, {from: start - 1, until: now});
		};

		for (const {objective, alerts} of services[0]!.objectives) {
			const names = alerts.map(({name}) => name);
			t.deepEqual(names, getAlerts(count, objective, OBJECTIVE));
			const key = [objective, ...names].join(' ');
			stood.set(key, (stood.get(key) ?? 0) + 1);
		}
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}, ${RUNS} runs`, Object.fromEntries(stood));
	t.true(stood.size >= 6, 'The cases tell too little.');
});

test('a copy kept up bucket by bucket has all but the present five minutes', t => {
	/*
	Symptom: a dead host's requests are missing from the budget, or counted twice.
	Sequence: a holder gets the whole once and closed buckets from then on, at any times between the requests.
	Cause: a bucket handed over while it is open, or a cut between the whole and the buckets that is not clean.
	*/
	fc.assert(fc.property(logArbitrary, fc.array(fc.boolean(), {maxLength: 40}), (log, sends) => {
		const own = report.createBurnCounters();
		let holder = report.createBurnCounters();
		let from: number | undefined;
		const send = (now: number) => {
			if (from === undefined || !own.canCopyFrom(from, now)) {
				from = undefined;
				holder = report.createBurnCounters();
			}

			holder.add(own.copy(now, from), now);
			from = own.getBucket(now);
		};

		for (const [index, {at, service, result}] of log.entries()) {
			own.record(service, result, OBJECTIVE, at);
			if (sends[index] ?? false) {
				send(at);
			}
		}

		const now = getEnd(log, 0);
		send(now);
		const isOpen = ({at}: LogLine) => own.getBucket(at) === own.getBucket(now);
		const kept = log.filter(line => !isOpen(line) && line.at > now - (6 * DAY));
		const counted = holder.getTotal(now);
		t.true(counted >= kept.length, `${counted} of ${kept.length}`);
		t.true(counted <= log.filter(line => !isOpen(line)).length);
		holder.add(own.copyLast(now), now);
		t.true(holder.getTotal(now) >= log.filter(line => line.at > now - (6 * DAY)).length);
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}, ${RUNS} runs`);
});

test('counts taken back after a restart stay, and further copies of them do not double', t => {
	/*
	Symptom: the error budget fills up by itself after a restart, or empties by half.
	Sequence: a host counts, hands over, dies and starts with a new clock, takes its counts back, and hands over again.
	Cause: counts only in memory; ages of copies mixed up with times of the new clock.
	*/
	fc.assert(fc.property(logArbitrary, fc.array(fc.nat(HOUR), {minLength: 1, maxLength: 200, size: 'max'}), (log, clocks) => {
		const end = getEnd(log, 0);
		const first = createFilled(log);
		const holder = report.createBurnCounters();
		holder.add(first.copy(end), end);
		holder.add(first.copyLast(end), end);
		const before = holder.getTotal(end);
		let counters = holder;
		let now = end;
		// Every process takes its counts back at a time of its own clock.
		for (const clock of clocks) {
			const next = report.createBurnCounters();
			next.add(counters.copy(now), clock);
			counters = next;
			now = clock;
		}

		const total = counters.getTotal(now);
		t.true(total <= before);
		// What is near the end of the window may leave it, because ages are known to the width of a bucket.
		const kept = log.filter(({at}) => at > end - (6 * DAY)).length;
		t.true(total >= kept, `${total} of ${kept} after ${clocks.length} restarts`);
	}), {seed: SEED, numRuns: RUNS});
	t.log(`seed ${SEED}, ${RUNS} runs`);
});

const GOOD: report.RequestResult = {
	outcome: 'ran', status: 200, milliseconds: 1, isCancelled: false, isFleetMade: false,
};

test('ages do not drift over restarts', t => {
	/*
	Symptom: a budget over weeks forgets what is a few days old.
	Sequence: a host that restarts 15 times a day takes its counts back each time, for four weeks.
	Cause: each time, a bucket's age is rounded to a bucket of another clock, always in the same direction.
	*/
	const restarts = 420;
	const random = utils.createRandom(SEED);
	let counters = createFilled([{at: 0, service: 'archive', result: GOOD}]);
	let now = 3 * DAY;
	for (let restart = 0; restart < restarts; restart++) {
		const next = report.createBurnCounters();
		const clock = random() * HOUR;
		next.add(counters.copy(now), clock);
		counters = next;
		now = clock;
	}

	const [age] = counters.copy(now)[0]!.coarse[0]!;
	t.log(`${restarts} restarts moved a count by ${((age - (3 * DAY)) / HOUR).toFixed(1)} h`);
	t.true(Math.abs(age - (3 * DAY)) < DAY / 2);
});

test('every bucket of every window counts', t => {
	const start = 8 * DAY;
	const log: readonly LogLine[] = [
		...Array.from({length: start / (5 * MINUTE)}, (_, index) => index * 5 * MINUTE),
		...Array.from({length: 2 * HOUR / 10_000}, (_, index) => start + (index * 10_000)),
	].map(at => ({at, service: 'archive', result: GOOD}));
	const counters = createFilled(log);
	const now = getEnd(log, 1);
	for (const {span, width} of WINDOWS) {
		const from = ((Math.floor(now / width) + 1) * width) - span - 1;
		t.deepEqual(counters.getCounts('archive', span, now), countLog(log, 'archive', OBJECTIVE, {from, until: now}));
	}
});

test('counts that come late displace none that are newer', t => {
	/*
	Symptom: requests of the last hour vanish from the report after a restart.
	Sequence: a restarted host counts for some time before it takes back counts that are hours older.
	Cause: the place of a bucket is shared by all buckets a whole span apart, and the older one took it.
	*/
	const holder = createFilled(Array.from({length: 6 * HOUR / 10_000}, (_, index) => ({at: index * 10_000, service: 'archive', result: GOOD})));
	const fresh = Array.from({length: HOUR / 10_000}, (_, index) => ({at: index * 10_000, service: 'archive', result: GOOD}));
	const counters = createFilled(fresh);
	const now = getEnd(fresh, 0);
	counters.add(holder.copy(7 * HOUR), now);
	t.deepEqual(counters.getCounts('archive', HOUR, now), countLog(fresh, 'archive', OBJECTIVE, {from: -1, until: now}));
});

type AlertCase = {
	readonly name: string;
	/**
	Failed requests of 100 in each of the last minutes, the present one first.
	*/
	readonly failed: (minute: number) => number;
	readonly alerts: readonly string[];
};

// With a target of 99% over 7 days the thresholds are 3.36, 1.4 and 0.233.
const ALERTS: readonly AlertCase[] = [
	{name: 'nothing failed', failed: () => 0, alerts: []},
	{name: 'an outage since a quarter of an hour', failed: minute => minute < 15 ? 100 : 0, alerts: ['fast-burn', 'slow-burn', 'budget-drain']},
	{name: 'an outage of a quarter of an hour that ended half an hour ago', failed: minute => minute >= 30 && minute < 45 ? 100 : 0, alerts: ['budget-drain']},
	{name: 'two percent since six hours', failed: minute => minute < 360 ? 2 : 0, alerts: ['slow-burn']},
	{name: 'one percent at all times', failed: () => 1, alerts: ['budget-drain']},
];

for (const {name, failed, alerts} of ALERTS) {
	test(`alerts: ${name}`, t => {
		const counters = report.createBurnCounters();
		const minutes = 3 * 24 * 60;
		for (let minute = minutes - 1; minute >= 0; minute--) {
			const at = (minutes - minute) * MINUTE;
			for (let request = 0; request < 100; request++) {
				const status = request < failed(minute) ? 500 : 200;
				counters.record('archive', {
					outcome: 'ran', status, milliseconds: 10, isCancelled: false, isFleetMade: false,
				}, OBJECTIVE, at);
			}
		}

		const {services} = createBurnReport([counters.summarize(HOUR, minutes * MINUTE)]);
		t.deepEqual(services[0]!.objectives[0]!.alerts.map(alert => alert.name), alerts);
		t.deepEqual(services[0]!.objectives[1]!.alerts, []);
	});
}

const FEW: ReadonlyArray<readonly [failures: number, alerts: readonly string[]]> = [
	[1, []],
	[9, []],
	[10, ['fast-burn', 'slow-burn', 'budget-drain']],
];

for (const [failures, alerts] of FEW) {
	test(`alerts: ${failures} failed of ${failures} requests in all`, t => {
		/*
		Symptom: somebody is paged at night for a single failure.
		Sequence: a service that is hardly used fails a few times; the burn rate is the highest that there is.
		Cause: the alerts looked at rates alone.
		*/
		const log = Array.from({length: failures}, (_, at) => ({at, service: 'archive', result: {...GOOD, status: 500}}));
		const {services} = createBurnReport([createFilled(log).summarize(HOUR, failures)]);
		t.deepEqual(services[0]!.objectives[0]!.alerts.map(alert => alert.name), alerts);
	});
}

test('each point of a plot has its own buckets', t => {
	/*
	Symptom: the newest bar of a plot is twice as high as the others, though requests are even; it changes with the second.
	Sequence: one request in each 10 s, and a report at any time.
	Cause: the buckets of a point were found by the ages of their middles, rounded down.
	*/
	for (let offset = 0; offset < 10_000; offset += 1000) {
		const log = Array.from({length: 60}, (_, index) => ({at: index * 10_000, service: 'archive', result: GOOD}));
		const [service] = createFilled(log).summarize(5 * MINUTE, (59 * 10_000) + offset).services;
		t.deepEqual(service!.series.map(counts => counts[0]), Array.from({length: 30}, () => 1));
	}
});

// Minutes that a request is old, and how far from them the report may be.
const AGES: ReadonlyArray<readonly [minutes: number, errorMinutes: number]> = [[0, 0.1], [3, 0.1], [59, 0.1], [70, 2.5], [300, 2.5], [1000, 30]];

for (const [minutes, errorMinutes] of AGES) {
	test(`counted for ${minutes} min is told within ${errorMinutes} min`, t => {
		// The process has run for some time before the first request.
		const log = [0, minutes].map(minute => ({at: (55 + minute) * MINUTE, service: 'archive', result: GOOD}));
		const {services} = createBurnReport([createFilled(log).summarize(HOUR, (55 + minutes) * MINUTE)]);
		t.true(Math.abs((services[0]!.countedDays * DAY) - (minutes * MINUTE)) <= errorMinutes * MINUTE);
	});
}

test('a longer window keeps what was counted under a shorter one', t => {
	const counters = createFilled([{at: 0, service: 'archive', result: GOOD}]);
	counters.record('archive', GOOD, {...OBJECTIVE, windowDays: 28}, 6 * DAY);
	t.is(counters.getTotal(6 * DAY), 2);
	t.is(counters.getTotal(20 * DAY), 2);
	t.is(counters.getTotal(40 * DAY), 0);
});

const SPANS: ReadonlyArray<readonly [text: string, milliseconds: number | undefined]> = [
	['5m', 5 * MINUTE],
	['1h', HOUR],
	['3d', 3 * DAY],
	['90d', 90 * DAY],
	['299s', undefined],
	['91d', undefined],
	['1w', undefined],
	['', undefined],
	['constructor', undefined],
];

for (const [text, milliseconds] of SPANS) {
	test(`the span ${JSON.stringify(text)} is ${milliseconds ?? 'refused'}`, t => {
		const span = report.parseSpan(text);
		t.is(span.isOk() ? span.value : undefined, milliseconds);
	});
}

test('holders are in other failure domains while there are any', t => {
	const candidates = Array.from({length: 12}, (_, index) => ({id: `host-${index}`, failureDomain: `domain-${index % 3}`}));
	for (const subject of candidates) {
		const chosen = report.chooseHolders(subject, candidates, 2);
		t.is(new Set([subject, ...chosen].map(({failureDomain}) => failureDomain)).size, 3);
		const [lost] = chosen;
		const others = candidates.filter(({id}) => id !== lost!.id);
		t.true(report.chooseHolders(subject, others, 2).length === 2);
	}

	t.deepEqual(report.chooseHolders(candidates[0]!, [candidates[0]!], 2), []);
});
