/**
Tests of the dispatcher: which request is granted which slot, which are queued or refused, and how upstreams that fail are suspended and tried.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import type * as dispatch from '../../index.ts';
import {
	createSlotRequest,
	createCandidate,
	createDispatcher,
	SERVICE,
} from './fixture.ts';

const getGrant = (effects: readonly dispatch.Effect[]) => effects.find(effect => effect.kind === 'grant');
const getRefusal = (effects: readonly dispatch.Effect[]) => effects.find(effect => effect.kind === 'refuse');

type ChoiceCase = {
	readonly name: string;
	readonly candidates: readonly dispatch.Candidate[];
	readonly request?: Partial<dispatch.SlotRequest>;
	readonly granted: string | undefined;
};

const CHOICES: readonly ChoiceCase[] = [
	{name: 'the only upstream', candidates: [createCandidate('a')], granted: 'a'},
	{name: 'the upstream in its own failure domain', candidates: [createCandidate('a', {failureDomain: 'y'}), createCandidate('b')], granted: 'b'},
	{name: 'an upstream that is not draining', candidates: [createCandidate('a', {isDraining: true}), createCandidate('b', {failureDomain: 'y'})], granted: 'b'},
	{
		name: 'an upstream that has not received the request', candidates: [createCandidate('a'), createCandidate('b', {failureDomain: 'y'})], request: {excluded: ['a']}, granted: 'b',
	},
	{name: 'a warm upstream before one that is warming up', candidates: [createCandidate('a', {warmAt: 5000}), createCandidate('b')], granted: 'b'},
	{name: 'an upstream in another failure domain for a free slot', candidates: [createCandidate('a', {slots: 0}), createCandidate('b', {failureDomain: 'y'})], granted: 'b'},
	{name: 'none without upstreams', candidates: [], granted: undefined},
];

for (const {name, candidates, request, granted} of CHOICES) {
	test(`grants ${name}`, t => {
		const effects = createDispatcher(candidates).requestSlot(createSlotRequest('1', request), 0);
		t.is(getGrant(effects)?.upstream, granted);
		t.is(getRefusal(effects)?.reason, granted === undefined ? 'no-upstream' : undefined);
	});
}

test('a slot request waits for the next slot, and the one of higher priority is granted first', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createSlotRequest('1'), 0);
	t.deepEqual(dispatcher.requestSlot(createSlotRequest('2'), 1), []);
	t.deepEqual(dispatcher.requestSlot(createSlotRequest('3', {priority: 0}), 2), []);
	const effects = dispatcher.end('1', {ending: 'success', milliseconds: 100}, 100);
	t.deepEqual(effects.map(effect => effect.kind === 'grant' ? effect.request.id : effect.kind), ['3']);
});

test('a request that can meet its objective is granted before one that no longer can', t => {
	// Guards against requests that stay late for two seconds after an outage: retries that came back together were queued ahead of new requests,
	// which then missed their objective too.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createSlotRequest('under-way'), 0);
	dispatcher.requestSlot(createSlotRequest('back', {waitedMilliseconds: 2000}), 1);
	dispatcher.requestSlot(createSlotRequest('new'), 2);
	const granted = getGrant(dispatcher.end('under-way', {ending: 'success', milliseconds: 200}, 200));
	t.is(granted?.request.id, 'new');
	t.is(getGrant(dispatcher.end('new', {ending: 'success', milliseconds: 200}, 400))?.request.id, 'back');
});

const TRIAL_CASES = [
	{name: 'while another upstream has a free slot, no non-idempotent request is used for a trial soon', isFull: false, triedBy: 6400},
	{name: 'while no slot is free and no request is idempotent, a suspended upstream is tried as soon as a trial is due', isFull: true, triedBy: 400},
] as const;

for (const {name, isFull, triedBy} of TRIAL_CASES) {
	test(name, t => {
		// Guards against requests of a small pool that all wait for half a second although a third of its slots would do: errors suspended half of
		// the upstreams, and non-idempotent requests delayed their trials by six more seconds after their failure periods had ended.
		const others = ['b', 'c', 'd', 'e'];
		const dispatcher = createDispatcher(['a', ...others].map(upstream => createCandidate(upstream, {slots: 1})));
		for (const id of ['bad-1', 'bad-2']) {
			dispatcher.requestSlot(createSlotRequest(id, {excluded: others}), 0);
			dispatcher.end(id, {ending: 'error', milliseconds: 10}, 0);
		}

		let triedAt = Infinity;
		for (let now = 50; triedAt === Infinity && now < 10_000; now += 50) {
			const id = String(now);
			const effects = [...dispatcher.tick(now), ...dispatcher.requestSlot(createSlotRequest(id, {remainingMilliseconds: 400}), now)];
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

type ShortfallCase = {
	readonly name: string;
	/**
	One of this many requests fails at the upstreams in use.
	*/
	readonly failing: number;
	/**
	Number of errors of the idle upstream: two suspend it, one leaves some doubt.
	*/
	readonly errors: number;
	readonly failsTrials: boolean;
	/**
	One of this many further requests is refused because of an allotment; absent: none.
	*/
	readonly refused?: number;
	/**
	Ranges of milliseconds after its last failure in which it gets its requests.
	*/
	readonly tried: ReadonlyArray<readonly [from: number, to: number]>;
};

const SHORTFALL_CASES: readonly ShortfallCase[] = [
	{
		name: 'suspended, while the others succeed', failing: Infinity, errors: 2, failsTrials: false, tried: [[6000, 6500]],
	},
	{
		name: 'suspended, while the others fail some requests', failing: 8, errors: 2, failsTrials: false, tried: [[1400, 2000]],
	},
	{
		name: 'suspended and still failing, while the others fail some requests', failing: 8, errors: 2, failsTrials: true, tried: [[1400, 2000], [2900, 3600], [3900, 4700]],
	},
	{
		name: 'not suspended but with doubt, while the others fail some requests', failing: 8, errors: 1, failsTrials: false, tried: [[1400, 2000]],
	},
	{
		name: 'not suspended but with doubt, while an organisation exceeds its allotment', failing: Infinity, errors: 1, failsTrials: false, refused: 4, tried: [[1400, 2000]],
	},
	{
		name: 'suspended and still failing, while the others succeed: its trials do not count', failing: Infinity, errors: 2, failsTrials: true, tried: [[6000, 6500], [6000, 7500]],
	},
];

for (const {name, failing, errors, failsTrials, refused = Infinity, tried} of SHORTFALL_CASES) {
	test(`an idle upstream is tried with non-idempotent requests: ${name}`, t => {
		// Guards against healthy upstreams that stay idle for eight seconds after they have recovered, while the requests at the others fail.
		const others = ['b', 'c', 'd', 'e', 'f', 'g'];
		const dispatcher = createDispatcher(['a', ...others].map(upstream => createCandidate(upstream)));
		for (let error = 0; error < errors; error++) {
			dispatcher.requestSlot(createSlotRequest(`bad-${error}`, {excluded: others}), 0);
			dispatcher.end(`bad-${error}`, {ending: 'error', milliseconds: 10}, 0);
		}

		let failedAt = 0;
		const times: number[] = [];
		for (let now = 20; times.length < tried.length && now < 20_000; now += 20) {
			if (now / 20 % refused === 0) {
				dispatcher.recordRefused(SERVICE, now);
			}

			const granted = getGrant(dispatcher.requestSlot(createSlotRequest(String(now)), now));
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
		name: 'two errors, and its heartbeats are missing', errors: 2, isSilent: true, cause: 'silent',
	},
	{
		name: 'one error', errors: 1, isSilent: false, cause: 'doubt',
	},
	{
		name: 'no error', errors: 0, isSilent: false, cause: 'unchosen',
	},
] as const;

for (const {name, errors, isSilent, cause} of IDLE_CASES) {
	test(`an idle upstream is listed with its cause while requests fail: ${name}`, t => {
		const others = ['b', 'c', 'd'];
		const dispatcher = createDispatcher([createCandidate('a', {isSilent}), ...others.map(upstream => createCandidate(upstream))]);
		const fail = (upstream: string, id: string) => {
			dispatcher.requestSlot(createSlotRequest(id, {excluded: ['a', ...others].filter(other => other !== upstream)}), 0);
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

test('a non-idempotent request is not used for an earlier trial while there are idempotent ones', t => {
	// Guards against non-idempotent requests that are lost to trials for which an idempotent request could have been used.
	const others = ['b', 'c', 'd'];
	const dispatcher = createDispatcher(['a', ...others].map(upstream => createCandidate(upstream, {slots: 50})));
	for (const upstream of ['a', 'a', ...others]) {
		const id = `${upstream}-failed`;
		dispatcher.requestSlot(createSlotRequest(id, {excluded: ['a', ...others].filter(other => other !== upstream)}), 0);
		dispatcher.end(id, {ending: 'error', milliseconds: 10}, 0);
	}

	dispatcher.requestSlot(createSlotRequest('read', {requestClass: 'read', excluded: ['a']}), 100);
	t.not(getGrant(dispatcher.requestSlot(createSlotRequest('unrepeatable'), 2000))?.upstream, 'a');
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('read-again', {requestClass: 'read'}), 2100))?.upstream, 'a');
});

test('a request that another dispatcher has counted adds nothing to the retry budget here', t => {
	// Guards against more resends than the budget allows: entry hosts that consider a dispatcher silent turn to the next one, and each of them
	// counted the same request.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 100})], {budget: {ratio: 0.2, extra: 0, windowMilliseconds: 10_000}});
	for (let request = 0; request < 50; request++) {
		dispatcher.requestSlot(createSlotRequest(String(request), {isAgain: true}), 0);
	}

	t.is(getRefusal(dispatcher.requestSlot(createSlotRequest('resend', {isResend: true}), 1))?.reason, 'budget');
	for (let request = 50; request < 60; request++) {
		dispatcher.requestSlot(createSlotRequest(String(request)), 2);
	}

	t.truthy(getGrant(dispatcher.requestSlot(createSlotRequest('resend', {isResend: true}), 3)));
});

test('under low traffic no upstream is idle for two seconds', t => {
	// Guards against healthy upstreams that stay idle for seconds: with 20 requests per second from one failure domain, those with the latest
	// successes were chosen again and again.
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

		const request = createSlotRequest(String(turn), {requestClass: turn % 5 < 2 ? 'read' : 'non-idempotent'});
		const granted = getGrant(dispatcher.requestSlot(request, now))!.upstream;
		longest = now < 4000 ? 0 : Math.max(longest, now - startedAt.get(granted)!);
		startedAt.set(granted, now);
	}

	longest = Math.max(longest, ...startedAt.values().map(at => 20_000 - at));
	t.true(longest < 2000, String(longest));
});

test('a request that cannot be served in time is refused at once, with a retry delay', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createSlotRequest('1'), 0);
	for (let request = 2; request < 9; request++) {
		dispatcher.requestSlot(createSlotRequest(String(request)), 0);
	}

	const refusal = getRefusal(dispatcher.requestSlot(createSlotRequest('9'), 0));
	t.is(refusal?.reason, 'no-slot-in-time');
	t.true((refusal?.retryAfterMilliseconds ?? 0) >= 100 && (refusal?.retryAfterMilliseconds ?? 0) <= 2000 / 3);
});

/**
Guards against refusals although upstreams have room within the deadline: after a restart, retries that had missed their objective already were
refused since the wait would be longer than the objective, and came back later still.
*/
const WAITS = [
	{name: 'a new request is refused if its objective cannot be met', request: {remainingMilliseconds: 4000}, isRefused: true},
	{name: 'a request that has missed its objective already waits for a late answer', request: {waitedMilliseconds: 2000, remainingMilliseconds: 4000}, isRefused: false},
	{name: 'a request that cannot be answered before its deadline is refused', request: {waitedMilliseconds: 2000, remainingMilliseconds: 900}, isRefused: true},
] as const;

for (const {name, request, isRefused} of WAITS) {
	test(name, t => {
		const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
		// One in progress and two queued, each for a quarter of the objective.
		for (let count = 0; count < 3; count++) {
			dispatcher.requestSlot(createSlotRequest(`before-${count}`), 0);
		}

		t.is(getRefusal(dispatcher.requestSlot(createSlotRequest('last', request), 0)) !== undefined, isRefused);
	});
}

test('a queued request is refused before its deadline', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createSlotRequest('1', {remainingMilliseconds: 5000}), 0);
	dispatcher.requestSlot(createSlotRequest('2'), 0);
	t.deepEqual(dispatcher.tick(1000), []);
	t.is(getRefusal(dispatcher.tick(1900))?.request.id, '2');
	t.is(dispatcher.countWaiting(), 0);
});

test('a cancelled request is granted nothing', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createSlotRequest('1'), 0);
	dispatcher.requestSlot(createSlotRequest('2'), 0);
	dispatcher.cancel('2', 1);
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
			dispatcher.requestSlot(createSlotRequest(String(index), {host: `host-${index}`}), 0);
		}

		for (const [index, ending] of endings.entries()) {
			dispatcher.end(String(index), {ending, milliseconds: 100}, 1);
		}

		t.is(dispatcher.report(SERVICE, 1)[0]?.isSuspended, isSuspended);
	});
}

const suspend = (dispatcher: dispatch.Dispatcher, id: string, now: number, excluded: readonly string[] = ['b']) => {
	dispatcher.requestSlot(createSlotRequest(id, {excluded}), now);
	return dispatcher.end(id, {ending: 'reset', milliseconds: 1}, now);
};

test('a service whose upstreams all shed half of their requests keeps them all in use', t => {
	// Guards against a service whose upstreams all shed half of their requests and are then suspended, four of five of them: doubt of shed requests
	// must not add up to a suspension.
	const dispatcher = createDispatcher(['a', 'b', 'c', 'd'].map(id => createCandidate(id, {slots: 50})));
	for (let request = 0; request < 200; request++) {
		const at = request * 200;
		t.truthy(getGrant(dispatcher.requestSlot(createSlotRequest(`${request}`), at)));
		dispatcher.end(`${request}`, {ending: request % 5 < 3 ? 'shed' : 'success', milliseconds: 20}, at + 20);
	}

	t.true(dispatcher.report(SERVICE, 40_000).every(({isSuspended}) => !isSuspended));
});

test('a suspended upstream gets one trial at a time, with idempotent requests', t => {
	// Guards against several lost requests at each trial of a failing upstream: after a fixed time all entry hosts sent requests to it at once.
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2'), 1000))?.upstream, 'b');
	const trial = getGrant(dispatcher.requestSlot(createSlotRequest('3', {requestClass: 'read'}), 1000));
	t.is(trial?.upstream, 'a');
	t.true(trial?.isTrial);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('4', {requestClass: 'read'}), 1000))?.upstream, 'b');
});

test('a failed trial is followed by a longer delay, a successful one by the next trial at once', t => {
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	const tryAt = (id: string, now: number) => getGrant(dispatcher.requestSlot(createSlotRequest(id, {requestClass: 'read'}), now))?.upstream;
	t.is(tryAt('2', 300), 'a');
	dispatcher.end('2', {ending: 'reset', milliseconds: 1}, 301);
	t.is(tryAt('3', 700), 'b');
	t.is(tryAt('4', 901), 'a');
	dispatcher.end('4', {ending: 'success', milliseconds: 100}, 1000);
	t.is(tryAt('5', 1000), 'a');
});

test('without idempotent requests, a non-idempotent one is the trial after a long delay', t => {
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2'), 6000))?.upstream, 'b');
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('3'), 6301))?.upstream, 'a');
});

test('after one successful trial, no non-idempotent request is the next one while idempotent ones are expected', t => {
	// Guards against requests that are lost after a trial that succeeded by chance: in a failure period every fifth request succeeds, and one success
	// was taken as recovery.
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	suspend(dispatcher, '1', 0);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2', {requestClass: 'read'}), 300))?.upstream, 'a');
	dispatcher.end('2', {ending: 'success', milliseconds: 100}, 400);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('3'), 401))?.upstream, 'b');
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('4', {requestClass: 'read'}), 402))?.upstream, 'a');
});

test('below the floor, a suspended upstream is used rather than refusing', t => {
	// Guards against a service that refuses all requests because one error on each upstream suspended them all.
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b')]);
	suspend(dispatcher, '1', 0, ['b']);
	suspend(dispatcher, '2', 0, ['a']);
	t.true(dispatcher.report(SERVICE, 1).every(upstream => upstream.isSuspended));
	t.truthy(getGrant(dispatcher.requestSlot(createSlotRequest('3'), 1)));
});

const FALLBACKS = [
	{name: 'a read that would be refused is sent to a suspended upstream', request: {requestClass: 'read'}, granted: 'a'},
	{name: 'a read that has failed already is not sent to a suspended upstream', request: {requestClass: 'read', isResend: true}, granted: undefined},
	{name: 'a non-idempotent request is not sent to a suspended upstream', request: {}, granted: undefined},
	{name: 'a read with too little time is not sent to a suspended upstream', request: {requestClass: 'read', remainingMilliseconds: 100}, granted: undefined},
] as const;

for (const {name, request, granted} of FALLBACKS) {
	test(name, t => {
		// Guards against refused reads while suspended upstreams have free slots and would answer most of them: above the floor they got nothing but
		// trials.
		const dispatcher = createDispatcher([createCandidate('a', {slots: 8}), ...['b', 'c', 'd', 'e'].map(id => createCandidate(id, {slots: 1}))]);
		suspend(dispatcher, 'failed', 0, ['b', 'c', 'd', 'e']);
		for (let filler = 0; filler < 4; filler++) {
			t.not(getGrant(dispatcher.requestSlot(createSlotRequest(`filler-${filler}`), 1))?.upstream, 'a');
		}

		for (let waiting = 0; waiting < 11; waiting++) {
			dispatcher.requestSlot(createSlotRequest(`waiting-${waiting}`), 1);
		}

		t.is(getGrant(dispatcher.requestSlot(createSlotRequest('crowded-out', request), 2))?.upstream, granted);
	});
}

test('a suspended upstream gets no trial while its heartbeats are missing', t => {
	const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b', {slots: 50})]);
	suspend(dispatcher, '1', 0);
	const suspended = dispatcher.report(SERVICE, 1).find(upstream => upstream.isSuspended);
	const silent = ['a', 'b'].map(name => createCandidate(name, {slots: 50, isSilent: name === suspended?.upstream}));
	dispatcher.setCandidates(SERVICE, silent, 1);
	t.not(getGrant(dispatcher.requestSlot(createSlotRequest('2', {requestClass: 'read'}), 5000))?.upstream, suspended?.upstream);
});

test('an entry host whose requests hang at an upstream sends to others, other entry hosts continue', t => {
	// Guards against requests of some entry hosts that hang for seconds after the network path between one of them and an upstream was cut: no
	// request fails, so only the age of those in progress shows it.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 50}), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('1'), 0))?.upstream, 'a');
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2'), 1000))?.upstream, 'b');
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('3', {host: 'other', excluded: ['b']}), 1000))?.upstream, 'a');
});

test('under low traffic every upstream that is not suspended gets a request within two seconds', t => {
	// Guards against healthy upstreams that are idle for seconds under low traffic: the longer an upstream had no request, the less it was trusted
	// and chosen.
	const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
	const dispatcher = createDispatcher(ids.map(id => createCandidate(id)));
	const last = new Map(ids.map(id => [id, 0]));
	for (let now = 0; now < 10_000; now += 50) {
		const granted = getGrant(dispatcher.requestSlot(createSlotRequest(`${now}`), now))!;
		last.set(granted.upstream, now);
		dispatcher.end(`${now}`, {ending: 'success', milliseconds: 40}, now + 40);
		t.true(last.values().every(at => now - at <= 2000));
	}
});

test('an upstream whose requests are all late gets no more requests, long before one of them ends', t => {
	// Guards against sending a third of all requests for a second to an upstream that has become ten times as slow: its requests hang, none ends, and
	// each one alone is not late enough to count.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 50}), createCandidate('b', {failureDomain: 'y', slots: 50})]);
	for (let request = 0; request < 4; request++) {
		t.is(getGrant(dispatcher.requestSlot(createSlotRequest(`slow-${request}`, {host: `host-${request}`, excluded: ['b']}), 0))?.upstream, 'a');
	}

	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('1', {excluded: ['b']}), 200))?.upstream, 'a');
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2'), 400))?.upstream, 'b');
	dispatcher.end('slow-0', {ending: 'success', milliseconds: 400}, 400);
	dispatcher.end('slow-1', {ending: 'success', milliseconds: 400}, 400);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('3', {excluded: ['b']}), 401))?.upstream, 'a');
});

test('resends stay within the budget', t => {
	// Guards against resends of resends, which send a slow upstream several times the requests of the callers.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 10_000})], {budget: {ratio: 0.2, extra: 0, windowMilliseconds: 10_000}});
	for (let request = 0; request < 100; request++) {
		dispatcher.requestSlot(createSlotRequest(`first-${request}`), 0);
	}

	const granted = Array.from({length: 100}, (_, index) => dispatcher.requestSlot(createSlotRequest(`again-${index}`, {isResend: true}), 1))
		.filter(effects => getGrant(effects) !== undefined).length;
	t.true(granted > 0 && granted <= 20);
	t.is(getRefusal(dispatcher.requestSlot(createSlotRequest('last', {isResend: true}), 2))?.reason, 'budget');
	t.truthy(getRefusal(dispatcher.requestSlot(createSlotRequest('later', {isResend: true}), 20_000)));
});

test('an entry host that turns to another dispatcher reports the slots it holds', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	const heldSlot = {
		id: '1', host: 'host', service: SERVICE, route: 'route', upstream: 'a', ageMilliseconds: 10, remainingMilliseconds: 1000,
	};
	dispatcher.replaceHeldSlots('host', SERVICE, [heldSlot], 0);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2'), 0)), undefined);
	t.is(getGrant(dispatcher.end('1', {ending: 'success', milliseconds: 50}, 50))?.request.id, '2');
});

test('the slot of an entry host that is gone is released after its deadline', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	dispatcher.requestSlot(createSlotRequest('1', {remainingMilliseconds: 500}), 0);
	dispatcher.requestSlot(createSlotRequest('2', {host: 'other', remainingMilliseconds: 5000}), 0);
	t.is(getGrant(dispatcher.tick(1001))?.request.id, '2');
});

const action = fc.record({
	kind: fc.constantFrom('ask', 'ask', 'ask', 'end', 'end', 'cancel', 'tick'),
	pick: fc.nat({max: 1000}),
	requestClass: fc.constantFrom('read' as const, 'non-idempotent' as const),
	ending: fc.constantFrom<dispatch.Ending>('success', 'success', 'success', 'error', 'reset', 'timeout', 'shed'),
	wait: fc.nat({max: 300}),
});

test('over any history no slot is granted twice, and every request is answered once', t => {
	fc.assert(fc.property(fc.array(action, {maxLength: 200}), actions => {
		const slots = 2;
		const dispatcher = createDispatcher(['a', 'b', 'c'].map(name => createCandidate(name, {slots})));
		const held = new Map<string, string>();
		const open = new Set<string>();
		const answered = new Set<string>();
		let now = 0;
		const applyEffects = (effects: readonly dispatch.Effect[]) => {
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
				t.true(held.values().filter(upstream => upstream === name).toArray().length <= slots, 'a slot was granted twice');
			}
		};

		for (const [index, {kind, pick, requestClass, ending, wait}] of actions.entries()) {
			now += wait;
			if (kind === 'ask') {
				open.add(String(index));
				applyEffects(dispatcher.requestSlot(createSlotRequest(String(index), {requestClass, remainingMilliseconds: 100_000}), now));
			} else if (kind === 'end' && held.size > 0) {
				const id = held.keys().toArray()[pick % held.size]!;
				held.delete(id);
				applyEffects(dispatcher.end(id, {ending, milliseconds: 100}, now));
			} else if (kind === 'cancel' && open.size > 0) {
				const id = [...open][pick % open.size]!;
				open.delete(id);
				dispatcher.cancel(id, now);
			} else {
				applyEffects(dispatcher.tick(now));
			}
		}

		t.is(dispatcher.countWaiting(), open.size);
	}));
});

const REPORTED_DOUBTS = [
	{
		name: 'none at once', requestClass: 'non-idempotent', at: 1, granted: 'b',
	},
	{
		name: 'none at once even with an idempotent request', requestClass: 'read', at: 1, granted: 'b',
	},
	{
		name: 'none soon with a non-idempotent request', requestClass: 'non-idempotent', at: 3000, granted: 'b',
	},
	{
		name: 'one after a while with an idempotent request', requestClass: 'read', at: 3000, granted: 'a',
	},
] as const;

for (const {name, requestClass, at, granted} of REPORTED_DOUBTS) {
	test(`an upstream that another dispatcher suspended gets a trial: ${name}`, t => {
		// Guards against lost requests when many hosts dispatch alone: each has received the doubt of the suspended upstreams and would try all of
		// them at once, if the time of the next trial were not set.
		const dispatcher = createDispatcher([createCandidate('a'), createCandidate('b')]);
		dispatcher.setDoubt(SERVICE, 'a', 7, 0);
		t.is(getGrant(dispatcher.requestSlot(createSlotRequest('1', {requestClass}), at))?.upstream, granted);
	});
}

const OWN_DOMAIN_WAITS = [
	{requestClass: 'read', at: 10, granted: undefined},
	{requestClass: 'read', at: 30, granted: 'b'},
	{requestClass: 'non-idempotent', at: 30, granted: undefined},
	{requestClass: 'non-idempotent', at: 70, granted: 'b'},
	{requestClass: 'upload', at: 200, granted: undefined},
	{requestClass: 'upload', at: 260, granted: 'b'},
] as const;

for (const {requestClass, at, granted} of OWN_DOMAIN_WAITS) {
	test(`${requestClass} whose own failure domain is full ${granted === undefined ? 'waits' : 'crosses'} ${at} ms later`, t => {
		// Guards against 44% of all requests crossing failure domains under load: the first free slot anywhere was used, though one in the own domain
		// becomes free within milliseconds.
		const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {failureDomain: 'y'})]);
		dispatcher.requestSlot(createSlotRequest('1'), 0);
		t.deepEqual(dispatcher.requestSlot(createSlotRequest('2', {requestClass}), 0), []);
		t.is(getGrant(dispatcher.tick(at))?.upstream, granted);
	});
}

test('a slot that becomes free goes to the request that waits for it in its failure domain', t => {
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {failureDomain: 'y'})]);
	dispatcher.requestSlot(createSlotRequest('1'), 0);
	dispatcher.requestSlot(createSlotRequest('2'), 0);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('3', {failureDomain: 'y'}), 5))?.upstream, 'b', 'no request of another failure domain has to wait behind it');
	t.is(getGrant(dispatcher.end('1', {ending: 'success', milliseconds: 10}, 10))?.upstream, 'a');
});

test('a request that is in progress elsewhere moves only to a slot that no queued request waits for', t => {
	// Guards against moves that delay other requests under load: overdue reads were sent again ahead of all queued requests.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {slots: 1})], {
		budget: {ratio: 1, extra: 60, windowMilliseconds: 10_000},
	});
	const move = {
		requestClass: 'read', isResend: true, isMove: true, excluded: ['a'],
	} as const;
	dispatcher.requestSlot(createSlotRequest('1', {excluded: ['b']}), 0);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('2', move), 0))?.upstream, 'b');
	dispatcher.requestSlot(createSlotRequest('3'), 0);
	t.is(getRefusal(dispatcher.requestSlot(createSlotRequest('4', move), 0))?.reason, 'no-slot-in-time');
	t.is(getGrant(dispatcher.end('2', {ending: 'success', milliseconds: 10}, 10))?.request.id, '3');
});

test('a move that is refused leaves the budget as it was', t => {
	// Guards against a retry budget that is used up by moves that were refused for lack of a slot.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1}), createCandidate('b', {slots: 1})], {budget: {ratio: 0.5, extra: 0, windowMilliseconds: 10_000}});
	dispatcher.requestSlot(createSlotRequest('1', {excluded: ['b']}), 0);
	dispatcher.requestSlot(createSlotRequest('2', {excluded: ['a']}), 0);
	for (let move = 0; move < 20; move++) {
		dispatcher.requestSlot(createSlotRequest(`m${move}`, {isResend: true, isMove: true, excluded: ['a']}), 0);
	}

	dispatcher.end('2', {ending: 'success', milliseconds: 10}, 10);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('3', {isResend: true, excluded: ['a']}), 10))?.upstream, 'b');
});

test('a request with little time left is granted a free slot', t => {
	const dispatcher = createDispatcher([createCandidate('a')]);
	t.is(getGrant(dispatcher.requestSlot(createSlotRequest('1', {remainingMilliseconds: 50}), 0))?.upstream, 'a');
});

test('all queued requests are granted when several slots become free together', t => {
	// Guards against a slot that stays free for up to 50 ms while a request is queued: when several slots became free, removing a request from the
	// queue skipped the next one.
	const dispatcher = createDispatcher([createCandidate('a', {slots: 1})]);
	for (const id of ['1', '2', '3']) {
		dispatcher.requestSlot(createSlotRequest(id), 0);
	}

	const effects = dispatcher.setCandidates(SERVICE, [createCandidate('a', {slots: 1}), createCandidate('b', {slots: 2})], 1);
	t.deepEqual(effects.map(effect => effect.kind === 'grant' ? effect.request.id : effect.kind), ['2', '3']);
});
