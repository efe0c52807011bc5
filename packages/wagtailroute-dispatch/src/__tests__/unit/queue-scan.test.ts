/**
Tests of the choice for several queued requests at one moment: reusing results changes no decision.
*/
import test from 'ava';
import * as fc from 'fast-check';
import * as utils from 'wagtailroute-utils';
import type * as dispatch from '../../index.ts';
import {choose, chooseTrial} from '../../choosing.ts';
import {DomainWait} from '../../domain-wait.ts';
import {createQueueScan, type CreateQueueScan} from '../../queue-scan.ts';
import {describeResponse} from '../../response-bytes.ts';
import {createTrialContext, getUsualMilliseconds} from '../../services.ts';
import {createUpstreamIndex, type UpstreamIndex} from '../../upstream-index.ts';
import {
	createCandidate,
	createDispatcher,
	createSlotRequest,
	SERVICE,
} from './fixture.ts';
import {
	arbitraryCall,
	arbitraryRequest,
	arbitrarySeed,
	type Call,
	play,
	type Replay,
	type Step,
} from './histories.ts';

/**
Examines each request individually and reuses nothing.
*/
const createIndividualScan: CreateQueueScan = (service, context) => {
	const {index, now, needsIdleUpstreams} = context;
	const isFull = () => index.countFree(now) === 0;
	return {
		isOver: () => isFull() && index.listTrials(now).length === 0,
		choose(request, queuedMilliseconds) {
			const response = describeResponse(service, request, now);
			const trialContext = createTrialContext(service, now, {isFull: isFull(), needsIdleUpstreams, response});
			const trial = request.isResend ? undefined : chooseTrial(index.listTrials(now), request, trialContext);
			return trial ?? choose(request, {
				...context,
				domainWait: new DomainWait({now, index, policy: service.policy}),
				queuedMilliseconds,
				usualMilliseconds: getUsualMilliseconds(service, request),
				response,
			});
		},
	};
};

/**
Requests of one failure domain, whose slots are in use while others may be free.
*/
const arbitraryArrivals: fc.Arbitrary<Call> = fc.tuple(
	fc.constantFrom('x', 'x', 'x', 'y', 'z'),
	fc.array(arbitraryRequest, {minLength: 1, maxLength: 6}),
).map(([failureDomain, requests]): Call => ({dispatcher, now, nextId}) => requests.flatMap(changes => dispatcher.requestSlot(createSlotRequest(nextId(), {
	...changes, failureDomain, excluded: changes.isResend ? changes.excluded : [], isMove: false, objectiveMilliseconds: 3000,
}), now)));

const arbitraryEnd: fc.Arbitrary<Call> = fc.constantFrom(1000, 16_000, 90_000).map((responseBytes): Call => ({dispatcher, now, granted}) => {
	const id = granted.shift();
	return id === undefined ? [] : dispatcher.end(id, {ending: 'success', milliseconds: 100, responseBytes}, now);
});

const arbitraryElapsed = fc.oneof({weight: 40, arbitrary: fc.nat(6)}, fc.nat(700));

/**
Nearly all slots are in use, and requests wait for those of their own failure domain.
*/
const arbitraryReplay: fc.Arbitrary<Replay> = fc.record({
	history: fc.array(
		fc.tuple(arbitraryElapsed, fc.oneof({weight: 4, arbitrary: arbitraryArrivals}, {weight: 6, arbitrary: arbitraryEnd}, {weight: 2, arbitrary: arbitraryCall})),
		{minLength: 40, maxLength: 200},
	) satisfies fc.Arbitrary<readonly Step[]>,
	seed: arbitrarySeed,
	isOrderedByCost: fc.boolean(),
});

/**
Plays a history. The random numbers start anew with each comparison of upstreams, so that they don't depend on the number of comparisons.
*/
function playLoaded(replay: Replay, createScan: CreateQueueScan) {
	const state = {events: 0, examined: 0, random: utils.createRandom(replay.seed)};
	const restart = () => {
		state.random = utils.createRandom(replay.seed + state.events);
	};

	const createIndex = () => {
		const index = createUpstreamIndex();
		const recorded: Partial<UpstreamIndex> = {
			listFree(...parameters) {
				state.examined++;
				restart();
				return index.listFree(...parameters);
			},
			hasFreeInDomain(...parameters) {
				state.examined++;
				return index.hasFreeInDomain(...parameters);
			},
		};
		return new Proxy(index, {
			get: (_, name: keyof UpstreamIndex) => recorded[name] ?? index[name].bind(index),
		});
	};

	const effects = play(replay, {
		createIndex,
		createScan,
		random: () => state.random(),
		onCalled() {
			state.events++;
			restart();
		},
	});
	return {decisions: effects.map(list => list.map(effect => describeDecision(effect))), examined: state.examined};
}

/**
Leaves out the time of a refusal's next attempt: it has a random part that depends on the number of comparisons.
*/
function describeDecision(effect: dispatch.Effect) {
	return effect.kind === 'refuse' ? {...effect, retryAfterMilliseconds: undefined} : effect;
}

test('decisions are the same as with an examination of each queued request individually', t => {
	// Guards against a result that is reused for a request whose answer differs: by its host, its class, its wait, or after a grant.
	const examined = {reused: 0, individually: 0};
	fc.assert(fc.property(arbitraryReplay, replay => {
		const reused = playLoaded(replay, createQueueScan);
		const individual = playLoaded(replay, createIndividualScan);
		examined.reused += reused.examined;
		examined.individually += individual.examined;
		t.deepEqual(reused.decisions, individual.decisions);
	}), {numRuns: 300});
	t.log(examined);
	t.true(examined.reused < examined.individually * 0.9);
});

function listGranted(effects: readonly dispatch.Effect[]): readonly string[] {
	return effects.flatMap(effect => effect.kind === 'grant' ? [`${effect.request.id} ${effect.upstream}`] : []);
}

/**
Differences between requests of one kind that random histories rarely show. Each returns the grants of the last event.
*/
const REUSE_CASES = {
	'a read explores an upstream that was the second choice before a grant of the same event'() {
		const dispatcher = createDispatcher([
			createCandidate('own', {slots: 1}),
			createCandidate('other', {failureDomain: 'y'}),
			createCandidate('rested', {failureDomain: 'z', slots: 1}),
		]);
		dispatcher.setDoubt(SERVICE, 'rested', 2, 1990);
		dispatcher.requestSlot(createSlotRequest('holds own'), 1990);
		dispatcher.requestSlot(createSlotRequest('holds other', {failureDomain: 'y'}), 1990);
		dispatcher.requestSlot(createSlotRequest('first', {requestClass: 'read', priority: 0}), 2000);
		dispatcher.requestSlot(createSlotRequest('second', {requestClass: 'read', priority: 10}), 2000);
		return listGranted(dispatcher.requestSlot(createSlotRequest('of y', {failureDomain: 'y', priority: 9}), 2000));
	},
	'a request that has waited longer than another crosses when the rate limit of its own failure domain has no token in time'() {
		const dispatcher = createDispatcher([createCandidate('own'), createCandidate('other', {failureDomain: 'y'})]);
		const limit = {
			kind: 'rate-limit' as const, upstream: 'own', ratePerSecond: 25, ageMilliseconds: 0,
		};
		dispatcher.applyUpdates(SERVICE, [{...limit, granted: 0}], 0);
		dispatcher.requestSlot(createSlotRequest('older', {priority: 2}), 0);
		dispatcher.applyUpdates(SERVICE, [{...limit, granted: 1}], 30);
		return listGranted(dispatcher.requestSlot(createSlotRequest('newer', {priority: 0}), 50));
	},
	'a host gets the slots of a large pool from which another host backs off'() {
		const ids = Array.from({length: 200}, (_, index) => String(index));
		const list = (slots: number) => [createCandidate('used', {slots: 1}), ...ids.map(id => createCandidate(id, {failureDomain: 'y', slots}))];
		const dispatcher = createDispatcher(list(0));
		dispatcher.applyUpdates(SERVICE, ids.map((upstream): dispatch.UpstreamUpdate => ({
			kind: 'backoff', upstream, host: 'barred', remainingMilliseconds: 5000,
		})), 0);
		dispatcher.requestSlot(createSlotRequest('holds used'), 0);
		dispatcher.requestSlot(createSlotRequest('of the barred host', {host: 'barred', requestClass: 'read'}), 0);
		dispatcher.requestSlot(createSlotRequest('of another host', {requestClass: 'read'}), 0);
		return listGranted(dispatcher.setCandidates(SERVICE, list(1), 30)).map(grant => grant.replace(/ \d+$/v, ''));
	},
};

const EXPECTED_GRANTS: Readonly<Record<keyof typeof REUSE_CASES, readonly string[]>> = {
	'a read explores an upstream that was the second choice before a grant of the same event': ['of y other', 'second rested'],
	'a request that has waited longer than another crosses when the rate limit of its own failure domain has no token in time': ['older other'],
	'a host gets the slots of a large pool from which another host backs off': ['of another host'],
};

for (const [title, getGrants] of Object.entries(REUSE_CASES)) {
	test(title, t => {
		// Guards against a result that is reused after a grant, for another wait, or for another host.
		t.deepEqual(getGrants(), EXPECTED_GRANTS[title as keyof typeof REUSE_CASES]);
	});
}
