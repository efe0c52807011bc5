/**
Tests of the index of upstreams: its lists equal those of a scan over all upstreams, and samples of a large pool reach every upstream.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import type * as dispatch from '../../index.ts';
import {createDispatcher as createDispatcherWithIndex} from '../../dispatcher.ts';
import {createUpstreamIndex, type UpstreamIndex} from '../../upstream-index.ts';
import {
	countSlots,
	getBackoff,
	hasCapacity,
	isServing,
	isSuspended,
	type Upstream,
} from '../../upstreams.ts';
import {createCandidate, createSlotRequest, SERVICE} from './fixture.ts';
import {
	arbitraryReplay,
	DOMAINS,
	HOSTS,
	play,
	SETTINGS,
} from './histories.ts';

/**
Scans all upstreams for each query.
*/
function createNaiveIndex(): UpstreamIndex {
	const upstreams = new Set<Upstream>();
	const list = (isListed: (upstream: Upstream) => boolean) => upstreams.values().filter(upstream => isListed(upstream)).toArray();
	const isUsable = (upstream: Upstream, now: number) => isServing(upstream) && !isSuspended(upstream, now);
	const isFree = (upstream: Upstream, now: number) => isUsable(upstream, now) && hasCapacity(upstream, now);
	const isOpen = ({closedUntil}: Upstream, now: number) => closedUntil <= now;
	return {
		add(upstream) {
			upstreams.add(upstream);
		},
		remove(upstream) {
			upstreams.delete(upstream);
		},
		// A scan keeps nothing that could be out of date.
		refresh: () => undefined,
		countFree: now => list(upstream => isFree(upstream, now)).length,
		listFree: now => list(upstream => isFree(upstream, now) && isOpen(upstream, now)),
		listOpen: (now, failureDomain) => list(upstream =>
			isFree(upstream, now) && isOpen(upstream, now) && (failureDomain === undefined || upstream.candidate.failureDomain === failureDomain)),
		hasFreeInDomain: (now, failureDomain, isAccepted) => list(upstream =>
			isFree(upstream, now) && isOpen(upstream, now) && upstream.candidate.failureDomain === failureDomain && isAccepted(upstream)).length > 0,
		listTrials: now => list(upstream => isSuspended(upstream, now) && upstream.nextTrialAt <= now && hasCapacity(upstream, now) && isServing(upstream)
			&& isOpen(upstream, now) && upstream.heldSlots.size === 0 && !upstream.candidate.isSilent),
		getNextTrialAt: now => Math.min(Infinity, ...list(upstream => isServing(upstream) && isSuspended(upstream, now)).map(({nextTrialAt}) => nextTrialAt)),
		listSuspended: now => list(upstream => isSuspended(upstream, now)),
		listUsableInDomain: (now, failureDomain) => list(upstream => isUsable(upstream, now) && upstream.candidate.failureDomain === failureDomain),
		listUsable: now => list(upstream => isUsable(upstream, now)),
		countUnlimitedSlots: now => list(upstream => isUsable(upstream, now) && upstream.rateLimit === undefined)
			.reduce((sum, upstream) => sum + countSlots(upstream, 1), 0),
		listLimitedUsable: now => list(upstream => isUsable(upstream, now) && upstream.rateLimit !== undefined),
		listBackingOff: now => list(upstream => HOSTS.some(host => getBackoff(upstream, host, now) > 0)),
		countServing: () => list(upstream => isServing(upstream)).length,
		count: now => ({
			upstreams: upstreams.size,
			suspended: list(upstream => isSuspended(upstream, now)).length,
			rateLimited: list(upstream => upstream.rateLimit !== undefined).length,
			draining: list(upstream => upstream.candidate.isDraining || upstream.isDraining).length,
		}),
	};
}

/**
Asks the index and the scan, and reports each difference. Lists must be equal in order too: it decides between upstreams of equal cost.
*/
function createComparedIndex(onDifference: (difference: string) => void): UpstreamIndex {
	const index = createUpstreamIndex();
	const naive = createNaiveIndex();
	const describe = (result: unknown) => typeof result === 'number'
		? String(result)
		: JSON.stringify(Array.isArray(result) ? (result as Upstream[]).map(({candidate}) => candidate.upstream) : result);
	const compare = <Result>(name: string, ask: (asked: UpstreamIndex) => Result): Result => {
		const found = ask(index);
		const expected = ask(naive);
		if (describe(found) !== describe(expected)) {
			onDifference(`${name}: ${describe(found)} instead of ${describe(expected)}`);
		}

		return found;
	};

	return {
		add(upstream, now) {
			index.add(upstream, now);
			naive.add(upstream, now);
		},
		remove(upstream) {
			index.remove(upstream);
			naive.remove(upstream);
		},
		refresh(upstream, now) {
			index.refresh(upstream, now);
		},
		countFree: now => compare('countFree', asked => asked.countFree(now)),
		listFree: (now, failureDomain, isAccepted) => compare('listFree', asked => asked.listFree(now, failureDomain, isAccepted)),
		listOpen: (now, failureDomain) => compare('listOpen', asked => asked.listOpen(now, failureDomain)),
		hasFreeInDomain: (now, failureDomain, isAccepted) => compare('hasFreeInDomain', asked => asked.hasFreeInDomain(now, failureDomain, isAccepted)),
		listTrials: now => compare('listTrials', asked => asked.listTrials(now)),
		getNextTrialAt: now => compare('getNextTrialAt', asked => asked.getNextTrialAt(now)),
		listSuspended: (now, isAccepted) => compare('listSuspended', asked => asked.listSuspended(now, isAccepted)),
		listUsableInDomain: (now, failureDomain) => compare('listUsableInDomain', asked => asked.listUsableInDomain(now, failureDomain)),
		listUsable: now => compare('listUsable', asked => asked.listUsable(now)),
		countUnlimitedSlots: now => compare('countUnlimitedSlots', asked => asked.countUnlimitedSlots(now)),
		listLimitedUsable: now => compare('listLimitedUsable', asked => asked.listLimitedUsable(now)),
		listBackingOff: now => compare('listBackingOff', asked => asked.listBackingOff(now)),
		countServing: () => compare('countServing', asked => asked.countServing()),
		count: now => compare('count', asked => asked.count(now)),
	};
}

test('the lists and counts of the index equal those of a scan after any history of calls', t => {
	// Guards against a change of an upstream that isn't followed by a refresh, and against a time of change that is computed too late: the upstream
	// would get no requests, or requests while it is suspended or draining.
	let queries = 0;
	fc.assert(fc.property(arbitraryReplay, replay => {
		const differences: string[] = [];
		const index = createComparedIndex(difference => {
			differences.push(difference);
		});
		const onCalled = (now: number) => {
			queries++;
			index.count(now);
			index.countFree(now);
			index.listTrials(now);
			index.getNextTrialAt(now);
			index.listSuspended(now, () => true);
			index.listUsable(now);
			index.countUnlimitedSlots(now);
			index.listLimitedUsable(now);
			index.listBackingOff(now);
			index.countServing();
			index.listOpen(now);
			for (const domain of DOMAINS) {
				index.listFree(now, domain, () => true);
				index.listOpen(now, domain);
				index.hasFreeInDomain(now, domain, () => true);
				index.listUsableInDomain(now, domain);
			}

			if (differences.length > 0) {
				throw new Error(differences.join('\n'));
			}
		};

		play(replay, {createIndex: () => index, onCalled});
	}), {numRuns: 400});
	t.true(queries > 1000);
});

test('decisions are the same with the index and with a scan', t => {
	// Guards against a decision that depends on the order or the moment in which the index was updated.
	fc.assert(fc.property(arbitraryReplay, replay => {
		t.deepEqual(play(replay, {createIndex: createUpstreamIndex}), play(replay, {createIndex: createNaiveIndex}));
	}), {numRuns: 200});
});

test('in a large pool as many upstreams get requests as with a scan, and as few requests leave their failure domain', t => {
	// Guards against a sample that always holds the same upstreams: the others would get nothing, and nobody would learn that they recovered.
	const ids = Array.from({length: 600}, (_, index) => String(index));
	const domains = new Map(ids.map((id, index) => [id, DOMAINS[index % 3]!]));
	const serve = (createIndex: () => UpstreamIndex) => {
		const dispatcher = createDispatcherWithIndex({...SETTINGS, random: utils.createRandom(1)}, createIndex);
		dispatcher.setCandidates(SERVICE, ids.map(id => createCandidate(id, {failureDomain: domains.get(id)!})), 0);
		const requested = new Set<string>();
		let crossed = 0;
		for (let now = 0; now < 2500; now++) {
			const failureDomain = DOMAINS[now % 3]!;
			const effects = dispatcher.requestSlot(createSlotRequest(String(now), {failureDomain}), now);
			const grants = effects.filter(effect => effect.kind === 'grant');
			for (const effect of grants) {
				requested.add(effect.upstream);
				crossed += domains.get(effect.upstream) === failureDomain ? 0 : 1;
				dispatcher.end(effect.request.id, {ending: 'success', milliseconds: 100}, now);
			}
		}

		return {requested: requested.size, crossed};
	};

	const {requested, crossed} = serve(createUpstreamIndex);
	const scan = serve(createNaiveIndex);
	t.log({requested, crossed, scan});
	t.true(requested >= scan.requested * 0.95, String(requested));
	t.true(crossed <= scan.crossed + 125, String(crossed));
});

test('a request reaches the only upstream of a large pool that its host may use', t => {
	// Guards against a sample that holds only upstreams from which the host of the request backs off.
	const dispatcher = createDispatcherWithIndex({...SETTINGS, random: utils.createRandom(1)});
	const ids = Array.from({length: 200}, (_, index) => String(index));
	dispatcher.setCandidates(SERVICE, ids.map(id => createCandidate(id)), 0);
	const updates = ids.filter(id => id !== '137').map((upstream): dispatch.UpstreamUpdate => ({
		kind: 'backoff', upstream, host: 'host', remainingMilliseconds: 5000,
	}));
	dispatcher.applyUpdates(SERVICE, updates, 0);
	const effects = dispatcher.requestSlot(createSlotRequest('1'), 1);
	t.deepEqual(effects.map(effect => effect.kind === 'grant' ? effect.upstream : effect.kind), ['137']);
});
