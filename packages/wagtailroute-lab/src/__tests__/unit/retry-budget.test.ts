/**
Histories of a fleet in virtual time in which upstreams fail while dispatchers change: five control hosts that are lost one after the other, all at once, or frozen, entry
hosts that are cut off and dispatch. Resends are counted at the upstreams.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as lab from '../../index.ts';
import * as fixture from './fixture.ts';

type Fault = {
	readonly kind: 'control-away' | 'control-frozen' | 'controls-away' | 'entries-cut' | 'restart';
	readonly atSeconds: number;
	readonly forSeconds: number;
	readonly share?: number;
};

type Spell = {
	readonly kind: 'reset' | 'shed';
	readonly lengthSeconds: number;
	readonly share: number;
};

type History = {
	readonly seed: number;
	readonly perSecond: number;
	readonly extra: number;
	readonly spell: Spell;
	readonly faults: readonly Fault[];
	readonly reconnectSeconds: number;
};

const SECONDS = 16;

/**
An archive whose upstreams have room for all requests, and fail in spells.
*/
function createScenario({perSecond, extra, spell, faults, reconnectSeconds}: History): lab.Scenario {
	return lab.parseScenario(JSON.stringify({
		...fixture.SITE,
		about: 'upstreams that fail while dispatchers change',
		seconds: SECONDS,
		services: [{
			name: 'archive', upstreams: [8, 8, 8], slots: 4, queue: 12,
		}],
		routes: [{
			...fixture.ROUTE,
			name: 'read',
			services: ['archive'],
			requestClass: 'read',
			perSecond,
			work: {
				meanMilliseconds: 60, spread: 0.3, tailShare: 0, tailTimes: 1,
			},
			objectiveMilliseconds: 1000,
			deadlineMilliseconds: 2000,
			timeoutMilliseconds: 1500,
			attempts: 3,
			lateWorth: 0.5,
			errorShare: 0,
		}],
		spells: [{...spell, everySeconds: 4, failing: 1}],
		budget: {ratio: 0.2, extra, windowMilliseconds: 10_000},
		callers: {retries: 0},
		faults,
		reconnectSeconds,
	})).unwrap();
}

const spell: fc.Arbitrary<Spell> = fc.record({
	kind: fc.constantFrom('reset' as const, 'shed' as const, 'shed' as const), lengthSeconds: fc.constantFrom(0.5, 12, 12), share: fc.constantFrom(0.4, 1, 1),
});

const single: fc.Arbitrary<Fault> = fc.record({
	kind: fc.constantFrom('control-away' as const, 'control-frozen' as const, 'controls-away' as const, 'entries-cut' as const, 'restart' as const),
	atSeconds: fc.constantFrom(2, 4, 6, 8, 10),
	forSeconds: fc.constantFrom(0.1, 1, 3),
	share: fc.constantFrom(0.4, 0.9),
});

/**
Dispatchers that are lost one after the other, and start again before the next round.
*/
const series: fc.Arbitrary<readonly Fault[]> = fc.record({
	atSeconds: fc.constantFrom(1, 3, 5), everySeconds: fc.constantFrom(0.7, 1.2, 2), forSeconds: fc.constantFrom(0.1, 0.6),
}).map(({atSeconds, everySeconds, forSeconds}) => Array.from({length: 8}, (_, index): Fault => ({
	kind: 'control-away', atSeconds: atSeconds + (index * everySeconds), forSeconds,
})));

const createHistories = (faults: fc.Arbitrary<readonly Fault[]>): fc.Arbitrary<History> => fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	perSecond: fc.constantFrom(20, 60),
	extra: fc.constantFrom(10, 30),
	spell,
	faults,
	reconnectSeconds: fc.constantFrom(0, 0.4),
});

const HISTORIES = 20;
const SEED = 20_261_203;

const KINDS = [
	{name: 'dispatchers are lost one after the other', faults: series},
	{name: 'control hosts are lost or frozen and entry hosts are cut off', faults: fc.array(single, {minLength: 1, maxLength: 4})},
	{name: 'all of these happen', faults: fc.tuple(series, fc.array(single, {maxLength: 2})).map(([first, second]) => [...first, ...second])},
] as const;

for (const {name, faults} of KINDS) {
	test(`resends stay within the budget while ${name}`, async t => {
		// Guards against dispatchers that grant a budget again when they replace each other or start anew.
		let resends = 0;
		await fc.assert(fc.asyncProperty(createHistories(faults), async history => {
			const figures = await lab.playDay(createScenario(history), lab.findVariant('present').unwrap(), history.seed);
			resends += figures.resends;
			t.is(figures.resendExcess, 0, JSON.stringify(history));
		}), {seed: SEED, numRuns: HISTORIES});
		t.true(resends > 0);
	});
}
