/**
Days on which spells of many upstreams overlap, of a service whose requests may not be repeated: those whose spells are over must be back in use while others fail.
*/
import test from 'ava';
import * as lab from '../../index.ts';
import * as fixture from './fixture.ts';

type Case = {
	readonly name: string;
	readonly perSecond: number;
	readonly spells: ReadonlyArray<Partial<lab.ScenarioSpell>>;
};

/**
The users' floor: the share of sound upstreams that get requests while a part of the requests is not served.
*/
const FLOOR = 0.7;
const SECONDS = 30;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10] as const;

const CASES: readonly Case[] = [
	{
		name: 'resets, and others that slow down',
		perSecond: 55,
		spells: [
			{
				kind: 'reset', share: 0.6, everySeconds: 14, lengthSeconds: 5, failing: 0.4,
			},
			{
				kind: 'slow', share: 0.4, everySeconds: 14, lengthSeconds: 8, failing: 1, times: 12,
			},
		],
	},
	{
		name: 'resets and hangs',
		perSecond: 55,
		spells: [
			{
				kind: 'reset', share: 0.6, everySeconds: 14, lengthSeconds: 5, failing: 0.4,
			},
			{
				kind: 'hang', share: 0.4, everySeconds: 14, lengthSeconds: 8, failing: 0.6,
			},
		],
	},
	{
		name: 'hangs of two kinds',
		perSecond: 55,
		spells: [
			{
				kind: 'hang', share: 0.6, everySeconds: 14, lengthSeconds: 4, failing: 0.7,
			},
			{
				kind: 'hang', share: 0.4, everySeconds: 10, lengthSeconds: 4, failing: 0.4,
			},
		],
	},
	{
		name: 'errors of two kinds',
		perSecond: 55,
		spells: [
			{
				kind: 'error', share: 0.6, everySeconds: 14, lengthSeconds: 4, failing: 0.5,
			},
			{
				kind: 'error', share: 0.5, everySeconds: 7, lengthSeconds: 5, failing: 0.3,
			},
		],
	},
];

/**
A pool of 20 upstreams that has room for all requests as long as half of it serves.
*/
function createScenario({perSecond, spells}: Case): lab.Scenario {
	return lab.parseScenario(JSON.stringify({
		...fixture.SITE,
		about: 'spells of many upstreams that overlap',
		seconds: SECONDS,
		services: [{
			name: 'payments', upstreams: [7, 7, 6], slots: 3, queue: 6,
		}],
		routes: [{
			...fixture.ROUTE,
			name: 'payment',
			services: ['payments'],
			perSecond,
			work: {
				meanMilliseconds: 280, spread: 0.4, tailShare: 0.02, tailTimes: 3,
			},
			objectiveMilliseconds: 1015,
			deadlineMilliseconds: 6083,
			timeoutMilliseconds: 3000,
			attempts: 2,
			lateWorth: 0.3,
			errorShare: 0.01,
		}],
		spells,
	})).unwrap();
}

for (const item of CASES) {
	test(`sound upstreams get requests while others fail: ${item.name}`, async t => {
		// Guards against upstreams that wait for their trial for longer than they need to become sound, while requests fail elsewhere.
		const scenario = createScenario(item);
		const variant = lab.findVariant('present').unwrap();
		const days = await Promise.all(SEEDS.map(async seed => lab.playDay(scenario, variant, seed)));
		const shares = days.map(({leastUsedShare}) => leastUsedShare);
		t.true(Math.min(...shares) >= FLOOR, shares.join(' '));
	});
}
