/**
Random histories of calls of a dispatcher, for tests that compare two of its implementations.
*/
import * as fc from 'fast-check';
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import type * as dispatch from '../../index.ts';
import {createDispatcher} from '../../dispatcher.ts';
import type {CreateQueueScan} from '../../queue-scan.ts';
import type {UpstreamIndex} from '../../upstream-index.ts';
import {createCandidate, createSlotRequest, SERVICE} from './fixture.ts';

export const HOSTS = ['host-1', 'host-2', 'host-3'];
export const DOMAINS = ['x', 'y', 'z'];
const ROUTES = ['small', 'large'];
export const SETTINGS = {budget: {ratio: 0.2, extra: 60, windowMilliseconds: 10_000}, floor: 0.7};

const MAX_UPSTREAMS = 8;
const arbitraryUpstream = fc.nat(MAX_UPSTREAMS - 1).map(String);
const arbitraryHost = fc.constantFrom(...HOSTS);
const arbitraryEnding = fc.constantFrom<dispatch.Ending>(
	'success', 'error', 'error', 'reset', 'refused', 'unreachable', 'timeout', 'overdue', 'shed', 'misdirected', 'cancelled', 'unused',
);

const arbitraryOutcome: fc.Arbitrary<dispatch.Outcome> = fc.record({
	ending: arbitraryEnding,
	milliseconds: fc.nat(900),
	// Small responses, those between the bounds, and large ones.
	responseBytes: fc.constantFrom(undefined, 1000, 16_000, 90_000),
});

const arbitraryCandidate = fc.record({
	upstream: arbitraryUpstream,
	failureDomain: fc.constantFrom(...DOMAINS),
	slots: fc.integer({min: 0, max: 3}),
	isDraining: fc.constantFrom(false, false, false, true),
	isSilent: fc.constantFrom(false, false, false, true),
	port: fc.constantFrom(80, 81),
}).map(({port, ...changes}) => createCandidate(changes.upstream, {...changes, address: {ip: '10.0.0.1', port}}));

const arbitraryAdvertisement = fc.oneof(
	fc.record({kind: fc.constant('rate-limit' as const), ratePerSecond: fc.constantFrom(0.5, 3, 7, 40)}),
	fc.record({kind: fc.constant('backoff' as const), milliseconds: fc.integer({min: 1, max: 3000})}),
	fc.record({kind: fc.constant('draining' as const)}),
) satisfies fc.Arbitrary<core.Advertisement>;

const arbitraryUpdate = fc.oneof(
	fc.record({
		kind: fc.constant('rate-limit' as const),
		upstream: arbitraryUpstream,
		ratePerSecond: fc.constantFrom(null, 2, 9),
		ageMilliseconds: fc.nat(500),
		granted: fc.nat(3),
	}),
	fc.record({
		kind: fc.constant('backoff' as const), upstream: arbitraryUpstream, host: arbitraryHost, remainingMilliseconds: fc.integer({min: 1, max: 2000}),
	}),
	fc.record({kind: fc.constant('draining' as const), upstream: arbitraryUpstream}),
) satisfies fc.Arbitrary<dispatch.UpstreamUpdate>;

export const arbitraryRequest = fc.record({
	host: arbitraryHost,
	route: fc.constantFrom(...ROUTES),
	failureDomain: fc.constantFrom(...DOMAINS),
	requestClass: fc.constantFrom<core.RequestClass>('read', 'idempotent', 'non-idempotent', 'upload'),
	priority: fc.nat(2),
	remainingMilliseconds: fc.integer({min: 1, max: 5000}),
	excluded: fc.uniqueArray(arbitraryUpstream, {maxLength: 2}),
	isResend: fc.constantFrom(false, false, true),
	isMove: fc.constantFrom(false, false, false, true),
});

export type Call = (state: {
	readonly dispatcher: dispatch.Dispatcher;
	readonly now: number;
	readonly granted: string[];
	readonly nextId: () => string;
	readonly setShare: (share: number) => void;
}) => readonly dispatch.Effect[];

const pick = (granted: string[], position: number): string | undefined => granted[position % Math.max(1, granted.length)];

export const arbitraryCall: fc.Arbitrary<Call> = fc.oneof(
	{weight: 8, arbitrary: arbitraryRequest.map((changes): Call => ({dispatcher, now, nextId}) => dispatcher.requestSlot(createSlotRequest(nextId(), changes), now))},
	{
		weight: 6, arbitrary: fc.tuple(fc.nat(50), arbitraryOutcome).map(([position, outcome]): Call => ({dispatcher, now, granted}) => {
			const id = pick(granted, position);
			granted.splice(granted.indexOf(id ?? ''), id === undefined ? 0 : 1);
			return id === undefined ? [] : dispatcher.end(id, outcome, now);
		}),
	},
	{
		weight: 2, arbitrary: fc.tuple(fc.nat(50), fc.array(arbitraryAdvertisement, {maxLength: 2})).map(([position, advertisements]): Call =>
			({dispatcher, now, granted}) => dispatcher.recordAdvertisements(pick(granted, position) ?? '', advertisements, now)),
	},
	fc.array(arbitraryUpdate, {maxLength: 3}).map((updates): Call => ({dispatcher, now}) => dispatcher.applyUpdates(SERVICE, updates, now)),
	fc.uniqueArray(arbitraryCandidate, {selector: ({upstream}) => upstream, maxLength: MAX_UPSTREAMS}).map((candidates): Call =>
		({dispatcher, now}) => dispatcher.setCandidates(SERVICE, candidates, now)),
	fc.tuple(arbitraryUpstream, fc.double({min: 0, max: 8, noNaN: true})).map(([upstream, doubt]): Call => ({dispatcher, now}) => {
		dispatcher.setDoubt(SERVICE, upstream, doubt, now);
		return [];
	}),
	fc.tuple(arbitraryUpstream, fc.double({min: 0, max: 8, noNaN: true}), fc.nat(4000)).map(([upstream, doubt, ageMilliseconds]): Call => ({dispatcher, now}) => {
		dispatcher.raiseDoubt(SERVICE, upstream, {doubt, ageMilliseconds}, now);
		return [];
	}),
	fc.tuple(arbitraryHost, fc.array(arbitraryUpstream, {maxLength: 2})).map(([host, upstreams]): Call => ({dispatcher, now, nextId}) => {
		const reports = upstreams.map(upstream => ({
			id: nextId(), host, service: SERVICE, upstream, route: 'route', ageMilliseconds: 100, remainingMilliseconds: 700,
		}));
		dispatcher.replaceHeldSlots(host, SERVICE, reports, now);
		return [];
	}),
	fc.nat(50).map((position): Call => ({dispatcher, now}) => {
		dispatcher.cancel(String(position), now);
		return [];
	}),
	fc.constant<Call>(({dispatcher, now}) => dispatcher.tick(now)),
	fc.constantFrom(0.25, 0.5, 1).map((share): Call => ({setShare}) => {
		setShare(share);
		return [];
	}),
);

export type Step = readonly [elapsed: number, call: Call];

export const arbitrarySeed = fc.integer({min: 1, max: 1_000_000});
const arbitraryHistory: fc.Arbitrary<readonly Step[]> = fc.array(
	fc.tuple(fc.oneof(fc.constantFrom(0, 0, 1, 100, 150, 300), fc.nat(3000), fc.double({min: 0, max: 500, noNaN: true})), arbitraryCall),
	{minLength: 1, maxLength: 120},
);

export type Replay = {
	readonly history: readonly Step[];
	readonly seed: number;
	readonly isOrderedByCost: boolean;
};

export const arbitraryReplay: fc.Arbitrary<Replay> = fc.record({history: arbitraryHistory, seed: arbitrarySeed, isOrderedByCost: fc.boolean()});

/**
Plays a history with a new dispatcher. Returns the effects of each call.
*/
export function play({history, seed, isOrderedByCost}: Replay, {
	createIndex,
	createScan,
	random = utils.createRandom(seed),
	onCalled = () => undefined,
}: {
	readonly createIndex?: () => UpstreamIndex;
	readonly createScan?: CreateQueueScan;
	readonly random?: () => number;
	readonly onCalled?: (now: number) => void;
}): ReadonlyArray<readonly dispatch.Effect[]> {
	const state = {
		share: 1, now: 0, ids: 0, granted: [] as string[],
	};
	const dispatcher = createDispatcher({
		...SETTINGS, random, getShare: () => state.share, isOrderedByCost: () => isOrderedByCost,
	}, createIndex, createScan);
	dispatcher.setCandidates(SERVICE, ['0', '1', '2', '3', '4'].map((upstream, position) => createCandidate(upstream, {failureDomain: DOMAINS[position % 3]!})), 0);
	return history.map(([elapsed, call]) => {
		state.now += elapsed;
		const effects = call({
			dispatcher,
			now: state.now,
			granted: state.granted,
			nextId: () => String(state.ids++),
			setShare(next) {
				state.share = next;
			},
		});
		state.granted.push(...effects.filter(effect => effect.kind === 'grant').map(({request}) => request.id));
		onCalled(state.now);
		return effects;
	});
}
