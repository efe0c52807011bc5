/**
Tests of the laboratory: it repeats, tells policies apart, and refuses what it does not know.
*/
import process from 'node:process';
import test from 'ava';
import * as lab from '../../index.ts';
import {createClock} from '../../clock.ts';
import {
	compare,
	estimate,
	FIGURE_NAMES,
	isTold,
} from '../../comparison.ts';

const SCENARIO = `
about: two services, hanging spells
seconds: 12
failureDomains: [a, b]
entryHostsPerDomain: 3
controlHosts: 3
nearMilliseconds: 0.2
farMilliseconds: 1.4
services:
  - {name: store, upstreams: [4, 4], slots: 3, queue: 12}
routes:
  - {name: look, services: [store], requestClass: read, perSecond: 12, work: {meanMilliseconds: 200, spread: 0.3, tailShare: 0.01, tailTimes: 4},
     objectiveMilliseconds: 800, deadlineMilliseconds: 3000, timeoutMilliseconds: 2000, priority: 1, attempts: 2, worth: 1, lateWorth: 0.3, errorShare: 0.01}
  - {name: pay, services: [store], requestClass: non-idempotent, perSecond: 12, work: {meanMilliseconds: 200, spread: 0.3, tailShare: 0.01, tailTimes: 4},
     objectiveMilliseconds: 800, deadlineMilliseconds: 3000, timeoutMilliseconds: 2000, priority: 0, attempts: 2, worth: 2, lateWorth: 0.6, errorShare: 0.01}
spells:
  - {kind: hang, share: 0.3, everySeconds: 6, lengthSeconds: 4, failing: 0.75}
`;

const parse = (more = '') => lab.parseScenario(`${SCENARIO}${more}`).unwrap();

const play = async (scenario: lab.Scenario, variant: string, seeds: number) => {
	const figures: lab.Figures[] = [];
	for (let seed = 1; seed <= seeds; seed++) {
		// eslint-disable-next-line no-await-in-loop -- One day after the other.
		figures.push(await lab.playDay(scenario, lab.findVariant(variant).unwrap(), seed));
	}

	return figures;
};

test('timers run in order of time, promises between them', async t => {
	const clock = createClock();
	const seen: string[] = [];
	clock.schedule(5, () => {
		seen.push('late');
	});
	const cancel = clock.schedule(4, () => {
		seen.push('cancelled');
	});
	clock.schedule(1, () => {
		cancel();
		seen.push('early');
		void (async () => {
			await Promise.resolve();
			seen.push('promise');
		})();
	});
	await clock.runUntil(4);
	t.deepEqual(seen, ['early', 'promise']);
	await clock.runUntil(5);
	t.deepEqual(seen, ['early', 'promise', 'late']);
});

test('a day repeats exactly', async t => {
	const [first, second] = [await play(parse(), 'present', 1), await play(parse(), 'present', 1)];
	t.deepEqual({...first[0], microseconds: 0}, {...second[0], microseconds: 0});
});

test('shares of a day add up to all its requests', async t => {
	const [day] = await play(parse('faults:\n  - {kind: restart, atSeconds: 6, forSeconds: 1}\n'), 'present', 1);
	const {served, refused, hung, reset, error, noConnection} = day!;
	t.true(Math.abs(served + refused + hung + reset + error + noConnection - 1) < 1e-9);
});

test('who knows what will become of requests serves more than the present policy, and that more than none', async t => {
	const scenario = parse('load: 2.5\n');
	const [blind, present, allKnowing] = [await play(scenario, 'no-doubt,no-paths,no-risk', 12), await play(scenario, 'present', 12), await play(scenario, 'all-knowing', 12)];
	for (const [worse, better] of [[blind, present], [present, allKnowing]] as const) {
		const served = compare(worse, better).find(({name}) => name === 'served')!;
		t.true(served.difference.mean > 0 && isTold(served), JSON.stringify(served));
	}
});

const CONTROL_FAULTS = ['controls-away', 'control-away', 'control-frozen'] as const;

for (const kind of CONTROL_FAULTS) {
	test(`entry hosts serve on during ${kind}`, async t => {
		// Symptom: while the control hosts are away, most requests are late or lost, though entry hosts and upstreams run.
		// Sequence: the dispatchers stop answering; each entry host turns to the next one, to a standby, to itself.
		// Cause: the decisions of a service needed a control host.
		const [quiet] = await play(parse(), 'present', 1);
		const [day] = await play(parse(`faults:\n  - {kind: ${kind}, atSeconds: 4, forSeconds: 6}\n`), 'present', 1);
		t.true(day!.earned > quiet!.earned * 0.9, `${day!.earned} of ${quiet!.earned}`);
	});
}

const LIMITED_PER_SECOND = 2;
const RATE_LIMITS = `
rateLimits:
  - {share: 0.4, atSeconds: 2, forSeconds: 9, perSecond: ${LIMITED_PER_SECOND}}
`;

/**
Excess that the platform allows in four seconds: half of the rate and five requests.
*/
const MAX_EXCESS = (0.5 * LIMITED_PER_SECOND * 4) + 5;

const LIMITED_DAYS = [
	{name: 'a quiet day', more: ''},
	{name: 'overload', more: 'load: 2.5\n'},
	{name: 'a burst', more: 'faults:\n  - {kind: burst, atSeconds: 6, forSeconds: 2, times: 4}\n'},
	{name: 'bad paths', more: 'faults:\n  - {kind: paths, atSeconds: 4, forSeconds: 5, share: 0.4}\n'},
	...CONTROL_FAULTS.map(kind => ({name: kind, more: `faults:\n  - {kind: ${kind}, atSeconds: 5, forSeconds: 3}\n`})),
	...[0.1, 1.5].map(forSeconds => ({
		name: `control hosts lost for ${forSeconds} s and found again one after the other`,
		more: `faults:\n  - {kind: controls-away, atSeconds: 5, forSeconds: ${forSeconds}}\n  - {kind: controls-away, atSeconds: 8, forSeconds: 1}\nreconnectSeconds: 1.2\n`,
	})),
	{
		name: 'control hosts lost one after the other',
		more: [5, 6, 7].map(at => `  - {kind: control-away, atSeconds: ${at}, forSeconds: 3}\n`).reduce((lines, line) => lines + line, 'faults:\n'),
	},
];

for (const {name, more} of LIMITED_DAYS) {
	test(`rate limits are kept during ${name}`, async t => {
		// Guards against dispatchers that each grant a whole rate limit when they replace each other.
		for (const day of await play(parse(RATE_LIMITS + more), 'present', 5)) {
			t.true(day.rateLimitExcess <= MAX_EXCESS, `${day.rateLimitExcess} beyond the limit, ${MAX_EXCESS} allowed`);
		}
	});
}

const BAD_UPSTREAMS = '  - {kind: reset, share: 0.8, everySeconds: 5, lengthSeconds: 4, failing: 0.9}\nbudget: {ratio: 0.2, extra: 12, windowMilliseconds: 10000}\n';

for (const {name, more} of LIMITED_DAYS) {
	test(`the budget of resends is kept during ${name}`, async t => {
		// Guards against dispatchers that replace each other and spend the whole budget each.
		for (const day of await play(parse(BAD_UPSTREAMS + more), 'present', 5)) {
			t.true(day.resends > 0);
			t.is(day.resendExcess, 0, `${day.resendExcess} resends beyond the budget`);
		}
	});
}

const CLOSURES = `
draining:
  - {share: 0.3, atSeconds: 4}
`;

/**
All that they get is shed, and hosts are told to back off.
*/
const BACKOFFS = '  - {kind: shed, share: 0.4, everySeconds: 5, lengthSeconds: 4, failing: 1, backoffSeconds: 3}\n';

/**
Requests that the platform lets pass after a backoff has begun to bind a host.
*/
const MOST_IN_BACKOFF = 2;

for (const {name, more} of LIMITED_DAYS) {
	test(`hosts keep to what upstreams told them during ${name}`, async t => {
		// Guards against dispatchers that replace each other, do not know what a host was told, and grant it all the same.
		for (const day of await play(parse(BACKOFFS + CLOSURES + more), 'present', 5)) {
			t.true(day.backoffArrivals <= MOST_IN_BACKOFF, `${day.backoffArrivals} requests in a backoff, ${MOST_IN_BACKOFF} allowed`);
			t.is(day.drainingArrivals, 0, 'requests to an upstream that leaves');
		}
	});
}

const NO_FIGURES = Object.fromEntries(FIGURE_NAMES.map(name => [name, 0])) as lab.Figures;

test('an estimate narrows with the sample, and a difference is paired', t => {
	t.deepEqual(estimate([2, 2, 2, 2]), {mean: 2, halfWidth: 0});
	const figures = [1, 5, 9].map(value => ({...NO_FIGURES, value}));
	const better = [1.1, 5.1, 9.1].map(value => ({...NO_FIGURES, value}));
	const value = compare(figures, better).find(({name}) => name === 'value')!;
	t.true(isTold(value));
	t.true(Math.abs(value.difference.mean - 0.1) < 1e-9);
});

const REFUSED = [
	{name: 'an unknown scenario', words: ['compare', 'present', 'no-doubt', '--scenario', 'weather'], told: 'scenario: weather'},
	{name: 'an unknown mechanism', words: ['compare', 'present', 'no-luck'], told: 'variant: no-luck'},
	{name: 'an unknown parameter', words: ['sweep', 'luck', '1'], told: 'variant: luck='},
	{name: 'a value that is no number', words: ['sweep', 'riskCost', 'much'], told: 'variant: riskCost=much'},
	{name: 'seeds that are no number', words: ['ablate', '--seeds', 'many'], told: '--seeds: many'},
];

for (const {name, words, told} of REFUSED) {
	test(`${name} ends with exit 2 and one line`, async t => {
		const lines: string[] = [];
		const stream = {
			write(text: string) {
				lines.push(text);
			},
		} as unknown as NodeJS.WriteStream;
		t.is(await lab.createLabCli().run(words, {stdin: process.stdin, stdout: stream, stderr: stream}), 2);
		t.is(lines.length, 1);
		t.true(lines[0]?.startsWith(`lab: ${told}`));
	});
}

const MALFORMED = [
	{name: 'a field that is not known', text: `${SCENARIO}weather: fine\n`},
	{name: 'a kind of spell that is not known', text: SCENARIO.replace('kind: hang', 'kind: nap')},
	{name: 'a rate limit of an unknown service', text: `${SCENARIO}${RATE_LIMITS.replace('share', 'service: shop, share')}`},
	{name: 'a service that is not described', text: SCENARIO.replace('services: [store]', 'services: [shop]')},
	{name: 'a share above one', text: SCENARIO.replace('share: 0.3,', 'share: 3,')},
	{name: 'no YAML', text: '{'},
];

for (const {name, text} of MALFORMED) {
	test(`a scenario with ${name} is refused`, t => {
		const parsed = lab.parseScenario(text);
		t.is(parsed.isErr() && parsed.error.kind, 'scenario-malformed');
	});
}

test('the scenarios of the repository can be read', async t => {
	for (const name of await lab.listScenarios()) {
		// eslint-disable-next-line no-await-in-loop -- A few small files.
		const loaded = await lab.loadScenario(name);
		t.true(loaded.isOk());
	}
});
