/**
Tests of the dispatcher: who gets a slot, who waits, who is refused, and what becomes of upstreams that fail.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import type * as dispatch from '../../index.ts';
import {
	createAsk,
	createCandidate,
	createDispatcher,
	SERVICE,
} from './fixture.ts';

const getGrant = (effects: readonly dispatch.Effect[]) => effects.find(effect => effect.kind === 'grant');
const getRefusal = (effects: readonly dispatch.Effect[]) => effects.find(effect => effect.kind === 'refuse');

type ChoiceCase = {
	readonly name: string;
	readonly candidates: readonly dispatch.Candidate[];
	readonly ask?: Partial<dispatch.SlotRequest>;
	readonly granted: string | undefined;
};

const CHOICES: readonly ChoiceCase[] = [
	{name: 'the only upstream', candidates: [createCandidate('a')], granted: 'a'},
	{name: 'the one of its own failure domain', candidates: [createCandidate('a', {failureDomain: 'y'}), createCandidate('b')], granted: 'b'},
	{name: 'one that does not drain', candidates: [createCandidate('a', {isDraining: true}), createCandidate('b', {failureDomain: 'y'})], granted: 'b'},
	{
		name: 'one that has not had the request', candidates: [createCandidate('a'), createCandidate('b', {failureDomain: 'y'})], ask: {excluded: ['a']}, granted: 'b',
	},
	{name: 'a warm one before a cold one', candidates: [createCandidate('a', {warmAt: 5000}), createCandidate('b')], granted: 'b'},
	{name: 'one of another failure domain for a free slot', candidates: [createCandidate('a', {slots: 0}), createCandidate('b', {failureDomain: 'y'})], granted: 'b'},
	{name: 'none when there is none', candidates: [], granted: undefined},
];

for (const {name, candidates, ask, granted} of CHOICES) {
	test(`grants ${name}`, t => {
		const effects = createDispatcher(candidates).requestSlot(createAsk('1', ask), 0);
		t.is(getGrant(effects)?.upstream, granted);
		t.is(getRefusal(effects)?.reason, granted === undefined ? 'no-upstream' : undefined);
	});
}

test('an ask waits for the next slot, and the more urgent one comes first', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createAsk('1'), 0);
	t.deepEqual(dispatcher.requestSlot(createAsk('2'), 1), []);
	t.deepEqual(dispatcher.requestSlot(createAsk('3', {priority: 0}), 2), []);
	const effects = dispatcher.end('1', {ending: 'success', milliseconds: 100}, 100);
	t.deepEqual(effects.map(effect => effect.kind === 'grant' ? effect.request.id : effect.kind), ['3']);
});

test('who can be answered within the objective comes before who can not any more', t => {
	// Symptom: for two seconds after a restart of everything, nobody is answered in time, although callers come no faster than before.
	// Sequence: all who waited meanwhile come back together; those who come now stand behind them, and are late in their turn.
	// Cause: who came first was served first, whether or not that was of use.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createAsk('under-way'), 0);
	dispatcher.requestSlot(createAsk('back', {waitedMilliseconds: 2000}), 1);
	dispatcher.requestSlot(createAsk('new'), 2);
	const granted = getGrant(dispatcher.end('under-way', {ending: 'success', milliseconds: 200}, 200));
	t.is(granted?.request.id, 'new');
	t.is(getGrant(dispatcher.end('new', {ending: 'success', milliseconds: 200}, 400))?.request.id, 'back');
});

const TRIAL_CASES = [
	{name: 'while another upstream has a free slot, no request that must not run twice is risked soon', isFull: false, triedBy: 6400},
	{name: 'while no slot is free and nothing can be repeated, a suspended upstream is tried as soon as a trial is due', isFull: true, triedBy: 400},
] as const;

for (const {name, isFull, triedBy} of TRIAL_CASES) {
	test(name, t => {
		// Symptom: every request of a small pool waits for half a second, though a third of its slots would do. Sequence: errors suspend half of the upstreams; their
		// spells pass; none of the requests may be repeated, so each waits six seconds more for its trial. Cause: what a trial may cost was weighed, what
		// all others lose meanwhile was not.
		const others = ['b', 'c', 'd', 'e'];
		const dispatcher = createDispatcher(['a', ...others].map(upstream => createCandidate(upstream, {slots: 1})));
		for (const id of ['bad-1', 'bad-2']) {
			dispatcher.requestSlot(createAsk(id, {excluded: others}), 0);
			dispatcher.end(id, {ending: 'error', milliseconds: 10}, 0);
		}

		let triedAt = Infinity;
		for (let now = 50; triedAt === Infinity && now < 10_000; now += 50) {
			const id = String(now);
			const effects = [...dispatcher.tick(now), ...dispatcher.requestSlot(createAsk(id, {remainingMilliseconds: 400}), now)];
			triedAt = effects.some(effect => effect.kind === 'grant' && effect.upstream === 'a') ? now : triedAt;
			for (const effect of effects) {
				if (!isFull && effect.kind === 'grant') {
					dispatcher.end(effect.request.id, {ending: 'success', milliseconds: 10}, now);
				}
			}
		}

		t.true(triedAt <= triedBy, String(triedAt));
		t.true(isFull || triedAt > 2000, String(triedAt));
	});
}

type ShortCase = {
	readonly name: string;
	/**
	Every how many requests one fails at the upstreams in use.
	*/
	readonly failing: number;
	/**
	Failures of the upstream that gets nothing: two errors suspend it, one leaves a doubt.
	*/
	readonly errors: number;
	readonly failsTrials: boolean;
	/**
	Times between which it gets its requests, in milliseconds after its last failure.
	*/
	readonly tried: ReadonlyArray<readonly [from: number, to: number]>;
};

const SHORT_CASES: readonly ShortCase[] = [
	{
		name: 'suspended, while the others serve', failing: Infinity, errors: 2, failsTrials: false, tried: [[6000, 6500]],
	},
	{
		name: 'suspended, while the others fail some', failing: 8, errors: 2, failsTrials: false, tried: [[1400, 2000]],
	},
	{
		name: 'suspended and still ill, while the others fail some', failing: 8, errors: 2, failsTrials: true, tried: [[1400, 2000], [2900, 3600], [3900, 4700]],
	},
	{
		name: 'doubted, while the others fail some', failing: 8, errors: 1, failsTrials: false, tried: [[1400, 2000]],
	},
	{
		name: 'suspended and still ill, while the others serve: its trials do not count', failing: Infinity, errors: 2, failsTrials: true, tried: [[6000, 6500], [6000, 7500]],
	},
];

for (const {name, failing, errors, failsTrials, tried} of SHORT_CASES) {
	test(`an upstream that gets nothing is tried by requests that may not be repeated: ${name}`, t => {
		// Guards against upstreams that are well again and get nothing for eight seconds while the requests that the others get fail.
		const others = ['b', 'c', 'd', 'e', 'f', 'g'];
		const dispatcher = createDispatcher(['a', ...others].map(upstream => createCandidate(upstream)));
		for (let error = 0; error < errors; error++) {
			dispatcher.requestSlot(createAsk(`bad-${error}`, {excluded: others}), 0);
			dispatcher.end(`bad-${error}`, {ending: 'error', milliseconds: 10}, 0);
		}

		let failedAt = 0;
		const times: number[] = [];
		for (let now = 20; times.length < tried.length && now < 20_000; now += 20) {
			const granted = getGrant(dispatcher.requestSlot(createAsk(String(now)), now));
			const isTried = granted?.upstream === 'a';
			if (isTried) {
				times.push(now - failedAt);
				failedAt = now;
			}

			const isFailing = isTried ? failsTrials : now / 20 % failing === 0;
			dispatcher.end(String(now), {ending: isFailing ? 'error' : 'success', milliseconds: 10}, now);
		}

		t.is(times.length, tried.length);
		for (const [index, [from, to]] of tried.entries()) {
			t.true(times[index]! >= from && times[index]! <= to, String(times));
		}
	});
}

const IDLE_CASES = [
	{
		name: 'two errors', errors: 2, isSilent: false, cause: 'suspended',
	},
	{
		name: 'two errors, and its heartbeats are not heard', errors: 2, isSilent: true, cause: 'silent',
	},
	{
		name: 'one error', errors: 1, isSilent: false, cause: 'doubt',
	},
	{
		name: 'nothing', errors: 0, isSilent: false, cause: 'unchosen',
	},
] as const;

for (const {name, errors, isSilent, cause} of IDLE_CASES) {
	test(`an upstream that gets nothing while requests fail is listed with its cause: ${name}`, t => {
		const others = ['b', 'c', 'd'];
		const dispatcher = createDispatcher([createCandidate('a', {isSilent}), ...others.map(upstream => createCandidate(upstream))]);
		const fail = (upstream: string, id: string) => {
			dispatcher.requestSlot(createAsk(id, {excluded: ['a', ...others].filter(other => other !== upstream)}), 0);
			dispatcher.end(id, {ending: 'error', milliseconds: 10}, 0);
		};

		for (let error = 0; error < errors; error++) {
			fail('a', `a-${error}`);
		}

		t.deepEqual(dispatcher.listIdleUpstreams(SERVICE, 2500), [], 'too few failures');
		for (const other of others) {
			fail(other, other);
		}

		t.deepEqual(dispatcher.listIdleUpstreams(SERVICE, 1500), [], 'all got requests lately');
		t.is(dispatcher.listIdleUpstreams(SERVICE, 2500).find(({upstream}) => upstream === 'a')?.cause, cause);
		t.deepEqual(dispatcher.listIdleUpstreams(SERVICE, 5000), [], 'no failures lately');
	});
}

test('where requests come that may be repeated, one that may not tries nothing sooner', t => {
	// Guards against requests that are lost to trials which another one could have made without harm.
	const others = ['b', 'c', 'd'];
	const dispatcher = createDispatcher(['a', ...others].map(upstream => createCandidate(upstream, {slots: 50})));
	for (const upstream of ['a', 'a', ...others]) {
		const id = `${upstream}-failed`;
		dispatcher.requestSlot(createAsk(id, {excluded: ['a', ...others].filter(other => other !== upstream)}), 0);
		dispatcher.end(id, {ending: 'error', milliseconds: 10}, 0);
	}

	dispatcher.requestSlot(createAsk('read', {requestClass: 'read', excluded: ['a']}), 100);
	t.not(getGrant(dispatcher.requestSlot(createAsk('unrepeatable'), 2000))?.upstream, 'a');
	t.is(getGrant(dispatcher.requestSlot(createAsk('read-again', {requestClass: 'read'}), 2100))?.upstream, 'a');
});

test('a request that was asked for at another dispatcher before earns no resends here', t => {
	// Symptom: more resends reach a service in ten seconds than its budget allows. Sequence: hosts take a dispatcher for silent and ask the next one, which
	// counts the request too; under overload each counted request is worth a fifth of a resend. Cause: one request counts once for each dispatcher.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 100})], {budget: {ratio: 0.2, extra: 0, windowMilliseconds: 10_000}});
	for (let ask = 0; ask < 50; ask++) {
		dispatcher.requestSlot(createAsk(String(ask), {isAgain: true}), 0);
	}

	t.is(getRefusal(dispatcher.requestSlot(createAsk('resend', {isResend: true}), 1))?.reason, 'budget');
	for (let ask = 50; ask < 60; ask++) {
		dispatcher.requestSlot(createAsk(String(ask)), 2);
	}

	t.truthy(getGrant(dispatcher.requestSlot(createAsk('resend', {isResend: true}), 3)));
});

test('with little traffic no upstream goes without a request for two seconds', t => {
	// Symptom: on a quiet day half of the upstreams that are well get nothing for seconds, and the few that are used fail some of it. Sequence: callers
	// of one failure domain send 20 requests a second, which a third of the upstreams can take. Cause: those proved last are chosen again and again.
	const domains = ['x', 'y', 'z'];
	const names = Array.from({length: 12}, (_item, index) => `u${index}`);
	const dispatcher = createDispatcher(names.map((name, index) => createCandidate(name, {failureDomain: domains[index % 3]!})));
	const startedAt = new Map(names.map(name => [name, 0]));
	let longest = 0;
	for (let turn = 0; turn < 400; turn++) {
		const now = turn * 50;
		if (turn >= 4) {
			dispatcher.end(String(turn - 4), {ending: 'success', milliseconds: 200}, now);
		}

		const ask = createAsk(String(turn), {requestClass: turn % 5 < 2 ? 'read' : 'non-idempotent'});
		const granted = getGrant(dispatcher.requestSlot(ask, now))!.upstream;
		longest = now < 4000 ? 0 : Math.max(longest, now - startedAt.get(granted)!);
		startedAt.set(granted, now);
	}

	longest = Math.max(longest, ...startedAt.values().map(at => 20_000 - at));
	t.true(longest < 2000, String(longest));
});

test('an ask that cannot be served in time is refused at once, with the time to come back', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createAsk('1'), 0);
	for (let ask = 2; ask < 9; ask++) {
		dispatcher.requestSlot(createAsk(String(ask)), 0);
	}

	const refusal = getRefusal(dispatcher.requestSlot(createAsk('9'), 0));
	t.is(refusal?.reason, 'no-slot-in-time');
	t.true((refusal?.retryAfterMilliseconds ?? 0) >= 100 && (refusal?.retryAfterMilliseconds ?? 0) <= 2000 / 3);
});

/**
Symptom: for three seconds after a restart of everything, a tenth of the requests is refused, many of them twice, although upstreams have
room for all within that time. Sequence: callers who could not connect come back together; each has missed its objective; a
queue stands before the slots; whoever would wait for longer than an objective is sent away and comes back later still. Cause: an
objective that was missed already was held against waiting.
*/
const WAITS = [
	{name: 'who has just come is refused where the objective can not be met', ask: {remainingMilliseconds: 4000}, isRefused: true},
	{name: 'who has missed the objective already waits for a late answer', ask: {waitedMilliseconds: 2000, remainingMilliseconds: 4000}, isRefused: false},
	{name: 'who can not be answered before the deadline is refused', ask: {waitedMilliseconds: 2000, remainingMilliseconds: 900}, isRefused: true},
] as const;

for (const {name, ask, isRefused} of WAITS) {
	test(name, t => {
		const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
		// One under way and two that wait, of a quarter of the objective each.
		for (let count = 0; count < 3; count++) {
			dispatcher.requestSlot(createAsk(`before-${count}`), 0);
		}

		t.is(getRefusal(dispatcher.requestSlot(createAsk('last', ask), 0)) !== undefined, isRefused);
	});
}

test('an ask whose time runs out while it waits is refused before its deadline', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createAsk('1', {remainingMilliseconds: 5000}), 0);
	dispatcher.requestSlot(createAsk('2'), 0);
	t.deepEqual(dispatcher.tick(1000), []);
	t.is(getRefusal(dispatcher.tick(1900))?.request.id, '2');
	t.is(dispatcher.countWaiting(), 0);
});

test('a withdrawn ask gets nothing', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createAsk('1'), 0);
	dispatcher.requestSlot(createAsk('2'), 0);
	dispatcher.cancel('2');
	t.deepEqual(dispatcher.end('1', {ending: 'success', milliseconds: 10}, 10), []);
});

type EndingCase = {
	readonly endings: readonly dispatch.Ending[];
	readonly isSuspended: boolean;
};

const ENDINGS: readonly EndingCase[] = [
	{endings: ['success'], isSuspended: false},
	{endings: ['error'], isSuspended: false},
	{endings: ['error', 'error'], isSuspended: true},
	{endings: ['error', 'success', 'error'], isSuspended: true},
	{endings: ['error', 'success', 'success', 'error'], isSuspended: false},
	{endings: ['shed', 'shed', 'shed', 'shed', 'shed', 'shed'], isSuspended: false},
	{endings: ['reset', 'shed'], isSuspended: true},
	{endings: ['reset'], isSuspended: true},
	{endings: ['reset', 'success', 'success'], isSuspended: true},
	{endings: ['reset', 'success', 'success', 'success'], isSuspended: false},
	{endings: ['refused'], isSuspended: true},
	{endings: ['unreachable'], isSuspended: false},
	{endings: ['unreachable', 'timeout'], isSuspended: true},
	{endings: ['shed'], isSuspended: false},
	{endings: ['cancelled'], isSuspended: false},
];

for (const {endings, isSuspended} of ENDINGS) {
	test(`an upstream that ends requests by ${endings.join(', ')} is ${isSuspended ? '' : 'not '}suspended`, t => {
		const dispatcher = createDispatcher([createCandidate('a', {slots: 100})]);
		for (const index of endings.keys()) {
			dispatcher.requestSlot(createAsk(String(index), {host: `host-${index}`}), 0);
		}

		for (const [index, ending] of endings.entries()) {
			dispatcher.end(String(index), {ending, milliseconds: 100}, 1);
		}

		t.is(dispatcher.report(SERVICE, 1)[0]?.isSuspended, isSuspended);
	});
}

const suspend = (dispatcher: dispatch.Dispatcher, id: string, now: number, excluded: readonly string[] = ['b']) => {
	dispatcher.requestSlot(createAsk(id, {excluded}), now);
	return dispatcher.end(id, {ending: 'reset', milliseconds: 1}, now);
};

test('a service whose upstreams all shed half of their requests keeps them all in use', t => {
	// Symptom: while all upstreams of a service shed half of what they get, for eight seconds, four of five are suspended; a fourth of the requests is
	// refused although slots are free.
	// Sequence: each shed counts against its upstream; half of the requests are shed, so doubt wanders up to suspension everywhere.
	// Cause: what costs a resend was weighed like what costs a request, once it came often.
	const dispatcher = createDispatcher(['a', 'b', 'c', 'd'].map(id => createCandidate(id, {slots: 50})));
	for (let ask = 0; ask < 200; ask++) {
		const at = ask * 200;
		t.truthy(getGrant(dispatcher.requestSlot(createAsk(`${ask}`), at)));
		dispatcher.end(`${ask}`, {ending: ask % 5 < 3 ? 'shed' : 'success', milliseconds: 20}, at + 20);
	}

	t.true(dispatcher.report(SERVICE, 40_000).every(({isSuspended}) => !isSuspended));
});

test('a suspended upstream gets one trial at a time, from requests that may be repeated', t => {
	// Symptom: each return of a sick upstream costs several callers their request.
	// Sequence: an upstream resets requests for seconds; it is taken back after a fixed time; all hosts send to it at once.
	// Cause: the return was decided by a clock, not by one request that can be sent again.
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	t.is(getGrant(dispatcher.requestSlot(createAsk('2'), 1000))?.upstream, 'b');
	const trial = getGrant(dispatcher.requestSlot(createAsk('3', {requestClass: 'read'}), 1000));
	t.is(trial?.upstream, 'a');
	t.true(trial?.isTrial);
	t.is(getGrant(dispatcher.requestSlot(createAsk('4', {requestClass: 'read'}), 1000))?.upstream, 'b');
});

test('a failed trial is followed by a longer wait, a successful one by the next trial at once', t => {
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	const tryAt = (id: string, now: number) => getGrant(dispatcher.requestSlot(createAsk(id, {requestClass: 'read'}), now))?.upstream;
	t.is(tryAt('2', 300), 'a');
	dispatcher.end('2', {ending: 'reset', milliseconds: 1}, 301);
	t.is(tryAt('3', 700), 'b');
	t.is(tryAt('4', 901), 'a');
	dispatcher.end('4', {ending: 'success', milliseconds: 100}, 1000);
	t.is(tryAt('5', 1000), 'a');
});

test('without requests that may be repeated, one that may not is the trial after a long wait', t => {
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	t.is(getGrant(dispatcher.requestSlot(createAsk('2'), 6000))?.upstream, 'b');
	t.is(getGrant(dispatcher.requestSlot(createAsk('3'), 6301))?.upstream, 'a');
});

test('after one good trial, a request that may not be repeated waits as long as others may be expected', t => {
	// Symptom: half of the requests that are lost to bad spells are lost to upstreams known to be in one.
	// Sequence: a spell lets every fifth request through; a trial succeeds; the next request that comes is the next trial.
	// Cause: one success was taken for proof.
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	t.is(getGrant(dispatcher.requestSlot(createAsk('2', {requestClass: 'read'}), 300))?.upstream, 'a');
	dispatcher.end('2', {ending: 'success', milliseconds: 100}, 400);
	t.is(getGrant(dispatcher.requestSlot(createAsk('3'), 401))?.upstream, 'b');
	t.is(getGrant(dispatcher.requestSlot(createAsk('4', {requestClass: 'read'}), 402))?.upstream, 'a');
});

test('below the floor, a suspended upstream is better than a refusal', t => {
	// Symptom: a service refuses everything although its upstreams serve most requests.
	// Sequence: one error on each upstream suspends them all.
	// Cause: suspensions had no floor.
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b')]);
	suspend(dispatcher, '1', 0, ['b']);
	suspend(dispatcher, '2', 0, ['a']);
	t.true(dispatcher.report(SERVICE, 1).every(upstream => upstream.isSuspended));
	t.truthy(getGrant(dispatcher.requestSlot(createAsk('3'), 1)));
});

const RESERVES = [
	{name: 'a read that would be refused tries a suspended upstream', ask: {requestClass: 'read'}, granted: 'a'},
	{name: 'one that has failed already does not', ask: {requestClass: 'read', isResend: true}, granted: undefined},
	{name: 'nor one that must not run twice', ask: {}, granted: undefined},
	{name: 'nor one whose time does not suffice', ask: {requestClass: 'read', remainingMilliseconds: 100}, granted: undefined},
] as const;

for (const {name, ask, granted} of RESERVES) {
	test(name, t => {
		// Symptom: while a third of a small service is suspended, a tenth of its reads is refused, though most of these upstreams would answer them.
		// Sequence: the others are full; what is suspended has room, and gets one trial at a time.
		// Cause: above the floor nothing but trials went there.
		const dispatcher = createDispatcher([createCandidate('a', {slots: 8}), ...['b', 'c', 'd', 'e'].map(id => createCandidate(id, {slots: 1}))]);
		suspend(dispatcher, 'failed', 0, ['b', 'c', 'd', 'e']);
		for (let filler = 0; filler < 4; filler++) {
			t.not(getGrant(dispatcher.requestSlot(createAsk(`filler-${filler}`), 1))?.upstream, 'a');
		}

		for (let waiting = 0; waiting < 11; waiting++) {
			dispatcher.requestSlot(createAsk(`waiting-${waiting}`), 1);
		}

		t.is(getGrant(dispatcher.requestSlot(createAsk('crowded-out', ask), 2))?.upstream, granted);
	});
}

test('a silent upstream that failed is not tried again until it is heard', t => {
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {slots: 50})]);
	suspend(dispatcher, '1', 0);
	const suspended = dispatcher.report(SERVICE, 1).find(upstream => upstream.isSuspended);
	const silent = ['a', 'b'].map(name => createCandidate(name, {slots: 50, isSilent: name === suspended?.upstream}));
	dispatcher.setCandidates(SERVICE, silent, 1);
	t.not(getGrant(dispatcher.requestSlot(createAsk('2', {requestClass: 'read'}), 5000))?.upstream, suspended?.upstream);
});

test('a host whose requests hang at an upstream sends elsewhere, other hosts go on', t => {
	// Symptom: for seconds, a part of the requests of some hosts is not answered, others are.
	// Sequence: the path between a host and an upstream is cut; the host's requests there hang until their deadline.
	// Cause: nothing is lost and nothing fails; only the age of what is under way shows it.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 50}), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	t.is(getGrant(dispatcher.requestSlot(createAsk('1'), 0))?.upstream, 'a');
	t.is(getGrant(dispatcher.requestSlot(createAsk('2'), 1000))?.upstream, 'b');
	t.is(getGrant(dispatcher.requestSlot(createAsk('3', {host: 'other', excluded: ['b']}), 1000))?.upstream, 'a');
});

test('with little traffic every upstream that is not suspended gets a request within two seconds', t => {
	// Symptom: five of six upstreams that are well get nothing for two seconds, while others lose a fifth of the answers.
	// Sequence: traffic is low; a few upstreams, proved a moment ago, take all of it; a fault begins on them.
	// Cause: the longer an upstream was not asked, the less it was trusted, and so it was asked even less.
	const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
	const dispatcher = createDispatcher(ids.map(id => createCandidate(id)));
	const last = new Map(ids.map(id => [id, 0]));
	for (let now = 0; now < 10_000; now += 50) {
		const granted = getGrant(dispatcher.requestSlot(createAsk(`${now}`), now))!;
		last.set(granted.upstream, now);
		dispatcher.end(`${now}`, {ending: 'success', milliseconds: 40}, now + 40);
		t.true(last.values().every(at => now - at <= 2000));
	}
});

test('an upstream whose requests are all late gets no more, long before one of them ends', t => {
	// Symptom: for a second, a third of all requests goes to upstreams that will answer none of them in time.
	// Sequence: an upstream becomes ten times as slow; its requests hang; nothing ends, so nothing is learned.
	// Cause: only ends counted, and each request alone was not late enough to say anything.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 50}), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	for (let ask = 0; ask < 4; ask++) {
		t.is(getGrant(dispatcher.requestSlot(createAsk(`slow-${ask}`, {host: `host-${ask}`, excluded: ['b']}), 0))?.upstream, 'a');
	}

	t.is(getGrant(dispatcher.requestSlot(createAsk('1', {excluded: ['b']}), 200))?.upstream, 'a');
	t.is(getGrant(dispatcher.requestSlot(createAsk('2'), 400))?.upstream, 'b');
	dispatcher.end('slow-0', {ending: 'success', milliseconds: 400}, 400);
	dispatcher.end('slow-1', {ending: 'success', milliseconds: 400}, 400);
	t.is(getGrant(dispatcher.requestSlot(createAsk('3', {excluded: ['b']}), 401))?.upstream, 'a');
});

test('resends stay within the budget', t => {
	// Symptom: an upstream that is slow gets several times the requests that callers sent.
	// Sequence: requests fail and are sent again, those too.
	// Cause: nobody counted resends over the fleet.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 10_000})], {budget: {ratio: 0.2, extra: 0, windowMilliseconds: 10_000}});
	for (let ask = 0; ask < 100; ask++) {
		dispatcher.requestSlot(createAsk(`first-${ask}`), 0);
	}

	const granted = Array.from({length: 100}, (_, index) => dispatcher.requestSlot(createAsk(`again-${index}`, {isResend: true}), 1))
		.filter(effects => getGrant(effects) !== undefined).length;
	t.true(granted > 0 && granted <= 20);
	t.is(getRefusal(dispatcher.requestSlot(createAsk('last', {isResend: true}), 2))?.reason, 'budget');
	t.truthy(getRefusal(dispatcher.requestSlot(createAsk('later', {isResend: true}), 20_000)));
});

test('a host that turns to another dispatcher brings the places it holds', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	const place = {
		id: '1', host: 'host', service: SERVICE, route: 'route', upstream: 'a', ageMilliseconds: 10, remainingMilliseconds: 1000,
	};
	dispatcher.replaceHeldSlots('host', SERVICE, [place], 0);
	t.is(getGrant(dispatcher.requestSlot(createAsk('2'), 0)), undefined);
	t.is(getGrant(dispatcher.end('1', {ending: 'success', milliseconds: 50}, 50))?.request.id, '2');
});

test('the place of a host that is gone is free after its deadline', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createAsk('1', {remainingMilliseconds: 500}), 0);
	dispatcher.requestSlot(createAsk('2', {host: 'other', remainingMilliseconds: 5000}), 0);
	t.is(getGrant(dispatcher.tick(1001))?.request.id, '2');
});

const action = fc.record({
	kind: fc.constantFrom('ask', 'ask', 'ask', 'end', 'end', 'cancel', 'tick'),
	pick: fc.nat({max: 1000}),
	requestClass: fc.constantFrom('read' as const, 'non-idempotent' as const),
	ending: fc.constantFrom<dispatch.Ending>('success', 'success', 'success', 'error', 'reset', 'timeout', 'shed'),
	wait: fc.nat({max: 300}),
});

test('over any history no slot is given twice, and every ask is answered once', t => {
	fc.assert(fc.property(fc.array(action, {maxLength: 200}), actions => {
		const slots = 2;
		const dispatcher = createDispatcher(['a', 'b', 'c'].map(name => createCandidate(name, {slots})));
		const held = new Map<string, string>();
		const open = new Set<string>();
		const answered = new Set<string>();
		let now = 0;
		const take = (effects: readonly dispatch.Effect[]) => {
			for (const effect of effects) {
				if (effect.kind !== 'grant' && effect.kind !== 'refuse') {
					continue;
				}

				t.false(answered.has(effect.request.id), 'answered twice');
				answered.add(effect.request.id);
				open.delete(effect.request.id);
				if (effect.kind === 'grant') {
					held.set(effect.request.id, effect.upstream);
				}
			}

			for (const name of ['a', 'b', 'c']) {
				t.true(held.values().filter(upstream => upstream === name).toArray().length <= slots, 'a slot was given twice');
			}
		};

		for (const [index, {kind, pick, requestClass, ending, wait}] of actions.entries()) {
			now += wait;
			if (kind === 'ask') {
				open.add(String(index));
				take(dispatcher.requestSlot(createAsk(String(index), {requestClass, remainingMilliseconds: 100_000}), now));
			} else if (kind === 'end' && held.size > 0) {
				const id = held.keys().toArray()[pick % held.size]!;
				held.delete(id);
				take(dispatcher.end(id, {ending, milliseconds: 100}, now));
			} else if (kind === 'cancel' && open.size > 0) {
				const id = [...open][pick % open.size]!;
				open.delete(id);
				dispatcher.cancel(id);
			} else {
				take(dispatcher.tick(now));
			}
		}

		t.is(dispatcher.countWaiting(), open.size);
	}));
});

const BELIEVED = [
	{
		name: 'none at once', requestClass: 'non-idempotent', at: 1, granted: 'b',
	},
	{
		name: 'none at once even by a request that may be repeated', requestClass: 'read', at: 1, granted: 'b',
	},
	{
		name: 'none soon by a request that may not be repeated', requestClass: 'non-idempotent', at: 3000, granted: 'b',
	},
	{
		name: 'one after a while by a request that may be repeated', requestClass: 'read', at: 3000, granted: 'a',
	},
] as const;

for (const {name, requestClass, at, granted} of BELIEVED) {
	test(`an upstream that another dispatcher suspended gets a trial: ${name}`, t => {
		// Symptom: while a control host stands still, one request in seven is lost, forty at a single upstream.
		// Sequence: eighty hosts dispatch alone; each has been told which upstreams are suspended, and each tries all of them.
		// Cause: what was told set the doubt and left the time of the next trial at the beginning of time.
		const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b')]);
		dispatcher.setDoubt(SERVICE, 'a', 7, 0);
		t.is(getGrant(dispatcher.requestSlot(createAsk('1', {requestClass}), at))?.upstream, granted);
	});
}

const HOME_WAITS = [
	{requestClass: 'read', at: 10, granted: undefined},
	{requestClass: 'read', at: 30, granted: 'b'},
	{requestClass: 'non-idempotent', at: 30, granted: undefined},
	{requestClass: 'non-idempotent', at: 70, granted: 'b'},
	{requestClass: 'upload', at: 200, granted: undefined},
	{requestClass: 'upload', at: 260, granted: 'b'},
] as const;

for (const {requestClass, at, granted} of HOME_WAITS) {
	test(`${requestClass} that finds its own failure domain full ${granted === undefined ? 'waits' : 'crosses'} ${at} ms later`, t => {
		// Symptom: on a busy day 44% of all requests cross failure domains.
		// Sequence: all slots at home are taken for the moment; the first free slot is elsewhere.
		// Cause: the first free slot was taken wherever it was, though one at home comes free within milliseconds.
		const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {failureDomain: 'y'})]);
		dispatcher.requestSlot(createAsk('1'), 0);
		t.deepEqual(dispatcher.requestSlot(createAsk('2', {requestClass}), 0), []);
		t.is(getGrant(dispatcher.tick(at))?.upstream, granted);
	});
}

test('a slot at home that comes free goes to who waits for it', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {failureDomain: 'y'})]);
	dispatcher.requestSlot(createAsk('1'), 0);
	dispatcher.requestSlot(createAsk('2'), 0);
	t.is(getGrant(dispatcher.requestSlot(createAsk('3', {failureDomain: 'y'}), 5))?.upstream, 'b', 'nobody stands behind it who is at home elsewhere');
	t.is(getGrant(dispatcher.end('1', {ending: 'success', milliseconds: 10}, 10))?.upstream, 'a');
});

test('a request that is under way elsewhere moves only to a slot that nobody waits for', t => {
	// Symptom: on a busy day more requests are refused, and fewer reads served, than without moves.
	// Sequence: upstreams are slow under load; reads become overdue, are given up and sent again before those who wait.
	// Cause: a move was queued as a resend is, ahead of all others.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {slots: 1})]);
	const move = {
		requestClass: 'read', isResend: true, isMove: true, excluded: ['a'],
	} as const;
	dispatcher.requestSlot(createAsk('1', {excluded: ['b']}), 0);
	t.is(getGrant(dispatcher.requestSlot(createAsk('2', move), 0))?.upstream, 'b');
	dispatcher.requestSlot(createAsk('3'), 0);
	t.is(getRefusal(dispatcher.requestSlot(createAsk('4', move), 0))?.reason, 'no-slot-in-time');
	t.is(getGrant(dispatcher.end('2', {ending: 'success', milliseconds: 10}, 10))?.request.id, '3');
});

test('a move that is refused leaves the budget as it was', t => {
	// Symptom: resends are refused for their budget though hardly any were sent.
	// Sequence: slots are taken; each overdue read asks for a move, and is refused.
	// Cause: the budget was paid before there was a place.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {slots: 1})], {budget: {ratio: 0, extra: 10, windowMilliseconds: 10_000}});
	dispatcher.requestSlot(createAsk('1', {excluded: ['b']}), 0);
	dispatcher.requestSlot(createAsk('2', {excluded: ['a']}), 0);
	for (let move = 0; move < 20; move++) {
		dispatcher.requestSlot(createAsk(`m${move}`, {isResend: true, isMove: true, excluded: ['a']}), 0);
	}

	dispatcher.end('2', {ending: 'success', milliseconds: 10}, 10);
	t.is(getGrant(dispatcher.requestSlot(createAsk('3', {isResend: true, excluded: ['a']}), 10))?.upstream, 'b');
});

test('an ask with little time left is tried where a slot is free', t => {
	const dispatcher = createDispatcher([createCandidate('a')]);
	t.is(getGrant(dispatcher.requestSlot(createAsk('1', {remainingMilliseconds: 50}), 0))?.upstream, 'a');
});

test('all who wait are served when slots come free together', t => {
	// Symptom: a slot stays free for up to 50 ms while somebody waits for it.
	// Sequence: an upstream with several slots joins; two wait.
	// Cause: those who wait were gone through while the first was taken out of the list, so the next one was passed over.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	for (const id of ['1', '2', '3']) {
		dispatcher.requestSlot(createAsk(id), 0);
	}

	const effects = dispatcher.setCandidates(SERVICE, [createCandidate('a', {slots: 1}), createCandidate('b', {slots: 2})], 1);
	t.deepEqual(effects.map(effect => effect.kind === 'grant' ? effect.request.id : effect.kind), ['2', '3']);
});
