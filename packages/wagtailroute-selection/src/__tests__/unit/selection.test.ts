/**
Tests of the choice of an upstream.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import * as selection from '../../index.ts';

type Case = {
	readonly name: string;
	readonly upstreams: ReadonlyArray<Partial<selection.Upstream>>;
	/**
	Requests that this host already has in flight, by upstream.
	*/
	readonly outstanding?: readonly number[];
	readonly excluded?: readonly string[];
	readonly trialAllowed?: boolean;
	/**
	Upstreams that are chosen at least once in many choices.
	*/
	readonly chosen: readonly string[];
};

const CASES: readonly Case[] = [
	{name: 'none when there is none', upstreams: [], chosen: []},
	{name: 'all that are alike', upstreams: [{}, {}, {}], chosen: ['0', '1', '2']},
	{name: 'no draining one', upstreams: [{state: 'draining'}, {}], chosen: ['1']},
	{name: 'no ejected one, even as the last', upstreams: [{admission: 'ejected'}], chosen: []},
	{
		name: 'no excluded one', upstreams: [{}, {}], excluded: ['1'], chosen: ['0'],
	},
	{
		name: 'no full one', upstreams: [{}, {}], outstanding: [4, 3], chosen: ['1'],
	},
	{
		name: 'none when all are full', upstreams: [{}, {}], outstanding: [4, 4], chosen: [],
	},
	{name: 'one on trial now and then', upstreams: [{admission: 'trial'}, {}], chosen: ['0', '1']},
	{
		name: 'none on trial for a request that must not run twice',
		upstreams: [{admission: 'trial'}, {}],
		trialAllowed: false,
		chosen: ['1'],
	},
	{
		name: 'an avoided one only as the last', upstreams: [{avoided: true}, {}], outstanding: [0, 3], chosen: ['1'],
	},
	{
		name: 'an avoided one when others are full', upstreams: [{avoided: true}, {}], outstanding: [0, 4], chosen: ['0'],
	},
	{name: 'the local one first', upstreams: [{failureDomain: 'a'}, {failureDomain: 'b'}], chosen: ['0']},
	{
		name: 'a remote one when the local one is busier',
		upstreams: [{failureDomain: 'a'}, {failureDomain: 'b'}],
		outstanding: [2, 0],
		chosen: ['1'],
	},
	{name: 'a ramping one now and then', upstreams: [{rampStartedAt: 0}, {}], chosen: ['0', '1']},
];

for (const {name, upstreams, outstanding = [], excluded = [], trialAllowed, chosen} of CASES) {
	test(`chooses ${name}`, t => {
		const selector = createSelector(upstreams);
		for (const [index, count] of outstanding.entries()) {
			for (let request = 0; request < count; request++) {
				selector.begin(String(index), 0);
			}
		}

		const random = utils.createRandom(1);
		const seen = new Set<string>();
		for (let round = 0; round < 500; round++) {
			const id = selector.choose({
				now: 0,
				random,
				excluded: new Set(excluded),
				trialAllowed,
			});
			if (id !== undefined) {
				seen.add(id);
			}
		}

		t.deepEqual([...seen].toSorted(), chosen);
	});
}

test('an upstream that fails at once does not draw the traffic', t => {
	// Symptom: a broken server takes most requests, since it answers fastest and is never busy.
	// Sequence: it fails each request within a millisecond.
	// Cause: the latency of failures taken for that of work.
	const selector = createSelector([{}, {}]);
	for (const [id, result] of [['0', 'failure'], ['1', 'success']] as const) {
		for (let request = 0; request < 5; request++) {
			selector.begin(id, request);
			selector.end(id, {now: request, latencyMilliseconds: result === 'failure' ? 1 : 20, result});
		}
	}

	const random = utils.createRandom(1);
	t.is(selector.choose({now: 5, random}), '1');
});

test('a shed makes the host go elsewhere for a moment, longer each time', t => {
	const selector = createSelector([{}, {}]);
	const random = utils.createRandom(1);
	const shed = (now: number): void => {
		selector.begin('0', now);
		selector.end('0', {now, latencyMilliseconds: 1, result: 'shed'});
	};

	const isAvoided = (now: number): boolean =>
		Array.from({length: 50}, () => selector.choose({now, random})).every(id => id === '1');
	shed(0);
	t.true(isAvoided(25));
	t.false(isAvoided(40));
	shed(40);
	t.true(isAvoided(90));
	t.false(isAvoided(110));
});

test('an upstream that left and came back still counts what it has in flight', t => {
	// Symptom: more requests at an upstream than it has slots.
	// Sequence: its lease runs out while requests are in flight; it announces itself again.
	// Cause: a record that is forgotten with the lease.
	const selector = createSelector([{}]);
	selector.begin('0', 0);
	selector.setUpstreams([]);
	t.is(selector.choose({now: 0, random: () => 0}), undefined);
	selector.setUpstreams([createUpstream('0', {})]);
	t.is(selector.getOutstanding('0'), 1);
	selector.end('0', {now: 1, latencyMilliseconds: 1, result: 'success'});
	t.is(selector.getOutstanding('0'), 0);
});

test('the slots are dealt out to the carriers whole: none twice, none left over', t => {
	const seed = 9;
	t.log(`seed ${seed}`);
	const slots = fc.array(fc.integer({min: 1, max: 8}), {minLength: 1, maxLength: 30});
	fc.assert(fc.property(slots, fc.integer({min: 1, max: 44}), (counts, count) => {
		const dealt = Array.from({length: count}, (_, rank) => selection.getOwnedSlots(counts, {count, rank}));
		for (const [upstream, total] of counts.entries()) {
			let owned = 0;
			for (const share of dealt) {
				owned += share[upstream]!;
			}

			t.is(owned, total);
		}
	}), {seed, numRuns: 100});
});

test('a choice is always allowed, and there is one whenever a naive search finds one', t => {
	const seed = 4;
	t.log(`seed ${seed}`);
	const upstream = fc.record({
		state: fc.constantFrom('serving' as const, 'draining' as const),
		admission: fc.constantFrom('in' as const, 'ejected' as const),
		avoided: fc.boolean(),
		failureDomain: fc.constantFrom('a', 'b'),
		slots: fc.integer({min: 1, max: 4}),
		outstanding: fc.nat({max: 4}),
	});
	fc.assert(fc.property(fc.array(upstream, {maxLength: 12}), fc.nat(), (all, chance) => {
		const selector = createSelector(all);
		for (const [index, {outstanding}] of all.entries()) {
			for (let request = 0; request < outstanding; request++) {
				selector.begin(String(index), 0);
			}
		}

		const allowed = all.flatMap(({state, admission, outstanding, slots}, index) =>
			state === 'serving' && admission === 'in' && outstanding < slots ? [String(index)] : []);
		const chosen = selector.choose({now: 0, random: utils.createRandom(chance)});
		t.is(chosen === undefined, allowed.length === 0);
		t.true(chosen === undefined || allowed.includes(chosen));
	}), {seed, numRuns: 300});
});

function createSelector(upstreams: ReadonlyArray<Partial<selection.Upstream>>): selection.Selector {
	const selector = selection.createSelector({localFailureDomain: 'a'});
	selector.setUpstreams(upstreams.map((upstream, index) => createUpstream(String(index), upstream)));
	return selector;
}

function createUpstream(id: string, changes: Partial<selection.Upstream>): selection.Upstream {
	return {
		id,
		failureDomain: 'a',
		slots: 4,
		state: 'serving',
		admission: 'in',
		...changes,
	};
}

for (const {name, result, latencyMilliseconds, after, isChosen} of [
	{
		name: 'failed just now', result: 'failure', latencyMilliseconds: 2, after: 10, isChosen: false,
	},
	{
		name: 'failed a while ago', result: 'failure', latencyMilliseconds: 2, after: 4000, isChosen: true,
	},
	{
		name: 'was slow a while ago', result: 'success', latencyMilliseconds: 2000, after: 4000, isChosen: false,
	},
	{
		name: 'was slow long ago', result: 'success', latencyMilliseconds: 2000, after: 60_000, isChosen: true,
	},
] as const) {
	test(`among idle ones, one that ${name} is ${isChosen ? 'tried again' : 'left alone'}`, t => {
		// Symptom: a healthy upstream stays without work after a single failure; a sick one is never ejected.
		// Sequence: a request fails; the others are idle, so that any estimate above theirs loses every comparison.
		// Cause: an estimate that changes only when a request ends.
		const selector = selection.createSelector({localFailureDomain: 'a'});
		selector.setUpstreams(['0', '1', '2', '3'].map(id => ({
			id, failureDomain: 'a', slots: 4, state: 'serving', admission: 'in',
		})));
		for (const id of ['1', '2', '3']) {
			selector.begin(id, 0);
			selector.end(id, {now: 0, latencyMilliseconds: 20, result: 'success'});
		}

		selector.begin('0', 0);
		selector.end('0', {now: 0, latencyMilliseconds, result});
		const random = utils.createRandom(5);
		const chosen = Array.from({length: 200}, () => selector.choose({now: after, random}));
		t.is(chosen.includes('0'), isChosen);
	});
}
