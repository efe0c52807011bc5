/**
Days on which entry hosts lose their paths to all upstreams, while callers and other hosts still reach them.
*/
import test from 'ava';
import * as lab from '../../index.ts';
import * as fixture from './fixture.ts';

const SECONDS = 24;
const SEEDS = [1, 2, 3] as const;

type Case = {
	readonly name: string;
	/**
	Part of the entry hosts that lose their paths.
	*/
	readonly share: number;
	readonly otherFaults: ReadonlyArray<{readonly kind: string; readonly atSeconds: number; readonly forSeconds: number}>;
};

const CASES: readonly Case[] = [
	{name: 'a third of the entry hosts', share: 0.34, otherFaults: []},
	{name: 'most of the entry hosts', share: 0.7, otherFaults: []},
	{
		name: 'a third of the entry hosts while no control host runs', share: 0.34, otherFaults: [{kind: 'controls-away', atSeconds: 8, forSeconds: 6}],
	},
	{
		name: 'a third of the entry hosts while the first dispatcher stands still', share: 0.34, otherFaults: [{kind: 'control-frozen', atSeconds: 8, forSeconds: 4}],
	},
];

/**
Requests that may fail in the first second and a half of the cut, in which the hosts find out, and a part that fails on any day.
*/
const MIN_SERVED = 0.95;

function createScenario({share, otherFaults}: Case): lab.Scenario {
	return lab.parseScenario(JSON.stringify({
		...fixture.SITE,
		about: 'entry hosts lose their paths to all upstreams',
		seconds: SECONDS,
		services: [{
			name: 'archive', upstreams: [8, 8, 8], slots: 4, queue: 12,
		}],
		routes: (['read', 'non-idempotent'] as const).map(requestClass => ({
			...fixture.ROUTE,
			name: requestClass,
			requestClass,
			services: ['archive'],
			perSecond: 40,
			work: {
				meanMilliseconds: 150, spread: 0.3, tailShare: 0, tailTimes: 1,
			},
			objectiveMilliseconds: 1000,
			deadlineMilliseconds: 2000,
			timeoutMilliseconds: 2000,
			attempts: 2,
			lateWorth: 0.5,
			errorShare: 0,
		})),
		faults: [{
			kind: 'unreached', atSeconds: 6, forSeconds: 12, share,
		}, ...otherFaults],
	})).unwrap();
}

for (const tested of CASES) {
	test(`requests are served while ${tested.name} reach no upstream`, async t => {
		// Guards against hosts that refuse what others could serve, and against upstreams that are suspended for what these hosts see.
		const days = await Promise.all(SEEDS.map(async seed => lab.playDay(createScenario(tested), lab.findVariant('present').unwrap(), seed)));
		for (const {served, falseSuspensions, resendExcess} of days) {
			t.log(`served ${served.toFixed(3)}, ${falseSuspensions.toFixed(1)} false suspensions of 1,000 requests`);
			t.true(served >= MIN_SERVED, String(served));
			t.true(resendExcess <= 0);
		}
	});
}
