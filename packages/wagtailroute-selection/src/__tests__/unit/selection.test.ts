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
	Requests that this host has in flight, by upstream.
	*/
	readonly outstanding?: readonly number[];
	readonly excluded?: readonly string[];
	readonly isTrialAllowed?: boolean;
	/**
	Upstreams that are chosen at least once in 500 choices.
	*/
	readonly chosen: readonly string[];
};

const CASES: readonly Case[] = [
	{name: 'no upstream when there is none', upstreams: [], chosen: []},
	{name: 'each of several equal upstreams', upstreams: [{}, {}, {}], chosen: ['0', '1', '2']},
	{name: 'no draining upstream', upstreams: [{state: 'draining'}, {}], chosen: ['1']},
	{name: 'no ejected upstream, even when there is no other', upstreams: [{ejectionState: 'ejected'}], chosen: []},
	{
		name: 'no excluded upstream', upstreams: [{}, {}], excluded: ['1'], chosen: ['0'],
	},
	{
		name: 'no upstream without a free slot', upstreams: [{}, {}], outstanding: [4, 3], chosen: ['1'],
	},
	{
		name: 'no upstream when none has a free slot', upstreams: [{}, {}], outstanding: [4, 4], chosen: [],
	},
	{name: 'an upstream on trial for some requests', upstreams: [{ejectionState: 'trial'}, {}], chosen: ['0', '1']},
	{
		name: 'no upstream on trial for a request that must not run twice',
		upstreams: [{ejectionState: 'trial'}, {}],
		isTrialAllowed: false,
		chosen: ['1'],
	},
	{
		name: 'no avoided upstream while another has a free slot', upstreams: [{isAvoided: true}, {}], outstanding: [0, 3], chosen: ['1'],
	},
	{
		name: 'an avoided upstream when no other has a free slot', upstreams: [{isAvoided: true}, {}], outstanding: [0, 4], chosen: ['0'],
	},
	{name: 'a local upstream before a remote one', upstreams: [{failureDomain: 'a'}, {failureDomain: 'b'}], chosen: ['0']},
	{
		name: 'a remote upstream when the local one has more requests in flight',
		upstreams: [{failureDomain: 'a'}, {failureDomain: 'b'}],
		outstanding: [2, 0],
		chosen: ['1'],
	},
	{name: 'an upstream that ramps up for some requests', upstreams: [{rampStartedAt: 0}, {}], chosen: ['0', '1']},
];

for (const {name, upstreams, outstanding = [], excluded = [], isTrialAllowed, chosen} of CASES) {
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
				isTrialAllowed,
			});
			if (id !== undefined) {
				seen.add(id);
			}
		}

		t.deepEqual([...seen].toSorted(), chosen);
	});
}

test('an upstream that fails immediately does not attract traffic', t => {
	// Guards against a broken server that receives most requests: it fails each request within a millisecond, so that it seems
	// to be the fastest and is never busy when the latency of failures counts as that of successes.
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

test('an upstream is avoided after a shed, longer after each consecutive one', t => {
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

test('an upstream that is removed and announced again keeps its count of requests in flight', t => {
	// Guards against more requests at an upstream than it has slots: its lease expires while requests are in flight, its state
	// is deleted with the lease, and it announces itself again.
	const selector = createSelector([{}]);
	selector.begin('0', 0);
	selector.setUpstreams([]);
	t.is(selector.choose({now: 0, random: () => 0}), undefined);
	selector.setUpstreams([createUpstream('0', {})]);
	t.is(selector.getOutstanding('0'), 1);
	selector.end('0', {now: 1, latencyMilliseconds: 1, result: 'success'});
	t.is(selector.getOutstanding('0'), 0);
});

test('each slot is owned by exactly one carrier', t => {
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

test('the chosen upstream is eligible, and one is chosen whenever a naive search finds one', t => {
	const seed = 4;
	t.log(`seed ${seed}`);
	const upstream = fc.record({
		state: fc.constantFrom('serving' as const, 'draining' as const),
		ejectionState: fc.constantFrom('in' as const, 'ejected' as const),
		isAvoided: fc.boolean(),
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

		const allowed = all.flatMap(({state, ejectionState, outstanding, slots}, index) =>
			state === 'serving' && ejectionState === 'in' && outstanding < slots ? [String(index)] : []);
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
		ejectionState: 'in',
		...changes,
	};
}

for (const {name, result, latencyMilliseconds, after, isChosen} of [
	{
		name: 'has just failed', result: 'failure', latencyMilliseconds: 2, after: 10, isChosen: false,
	},
	{
		name: 'failed 4 seconds ago', result: 'failure', latencyMilliseconds: 2, after: 4000, isChosen: true,
	},
	{
		name: 'was slow 4 seconds ago', result: 'success', latencyMilliseconds: 2000, after: 4000, isChosen: false,
	},
	{
		name: 'was slow 60 seconds ago', result: 'success', latencyMilliseconds: 2000, after: 60_000, isChosen: true,
	},
] as const) {
	test(`among idle upstreams, one that ${name} is ${isChosen ? 'tried again' : 'not chosen'}`, t => {
		// Guards against an estimate that changes only when a request ends: a request fails while the other upstreams are idle,
		// so that any higher estimate loses every comparison. A healthy upstream then stays without requests, and a faulty one
		// is never ejected for lack of evidence.
		const selector = selection.createSelector({localFailureDomain: 'a'});
		selector.setUpstreams(['0', '1', '2', '3'].map(id => ({
			id, failureDomain: 'a', slots: 4, state: 'serving', ejectionState: 'in',
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
