/**
Replays of named loads through a dispatcher with a simulated clock. A refused caller returns while its deadline allows.
*/
import * as utils from 'wagtailroute-utils';
import * as dispatch from '../../index.ts';
import {createCandidate, createDispatcher, createSlotRequest} from './fixture.ts';

/**
Requests of one route.
*/
export type Kind = {
	readonly priority: number;
	readonly work: number;
	readonly objective: number;
	readonly deadline: number;
	readonly organisations: number;
	/**
	Requested part of the capacity at a time.
	*/
	readonly getLoad: (at: number) => number;
};

const LOOKUP = {
	priority: 0, work: 210, objective: 863, deadline: 2698, organisations: 10,
} as const;
const POST = {
	priority: 1, work: 159, objective: 861, deadline: 3227, organisations: 10,
} as const;
const BUNDLE = {
	priority: 2, work: 126, objective: 1671, deadline: 3343, organisations: 10,
} as const;

/**
What arrives, and how upstreams behave.
*/
export type Load = {
	readonly name: string;
	readonly kinds: Readonly<Record<string, Kind>>;
	/**
	Least part of the requests of some kinds that has to be answered in time, ordered by priority.
	*/
	readonly inTime: Readonly<Record<string, number>>;
	/**
	Returns how many times longer than usual a request takes at an upstream.

	@param held Slots of the upstream that are in use, including that of the request.
	*/
	readonly getSlowness?: (held: number) => number;
	/**
	Returns whether the connections of all requests granted at this time are reset.
	*/
	readonly isFailing?: (at: number) => boolean;
};

const THREE_KINDS = {
	lookup: {...LOOKUP, getLoad: () => 0.5}, post: {...POST, getLoad: () => 0.5}, bundle: {...BUNDLE, getLoad: () => 0.5},
} as const;

/**
Loads with upstreams that always serve at their usual speed.
*/
export const OVERLOADS: readonly Load[] = [
	{name: 'three priorities at 1.5 times the capacity', kinds: THREE_KINDS, inTime: {lookup: 0.95, post: 0.5}},
	{
		name: 'a burst of the least urgent',
		kinds: {
			lookup: {...LOOKUP, getLoad: () => 0.35}, post: {...POST, getLoad: () => 0.3}, bundle: {...BUNDLE, getLoad: at => at > 1500 && at < 3000 ? 2.5 : 0.1},
		},
		inTime: {lookup: 0.95, post: 0.95},
	},
	{
		name: 'the most urgent alone at twice the capacity',
		kinds: {
			lookup: {...LOOKUP, getLoad: () => 2}, bundle: {...BUNDLE, getLoad: () => 0.4},
		},
		inTime: {},
	},
	{
		name: 'an organisation that floods',
		kinds: {
			others: {...POST, getLoad: () => 0.7}, flooding: {...POST, organisations: 1, getLoad: at => at > 1000 ? 1.2 : 0.1},
		},
		inTime: {others: 0.85},
	},
];

const USUAL_KINDS = {
	lookup: {...LOOKUP, getLoad: () => 0.3}, post: {...POST, getLoad: () => 0.3}, bundle: {...BUNDLE, getLoad: () => 0.3},
} as const;

/**
Loads that upstreams don't serve as usual.
*/
export const UPSTREAM_FAULTS: readonly Load[] = [
	{
		name: 'upstreams that become four times slower under load', kinds: USUAL_KINDS, inTime: {}, getSlowness: held => held > 1 ? 4 : 1,
	},
	{
		name: 'all upstreams of the pool suspended', kinds: THREE_KINDS, inTime: {}, isFailing: at => at > 1500 && at < 3000,
	},
];

/**
Orders of the queue: overload control off, on, and on with value per unit of work.
*/
export const ORDERS = {
	arrival: {},
	priority: {isOrderedByCost: () => true},
	value: {isOrderedByCost: () => true, policy: {...dispatch.DEFAULT_POLICY, orderWorkSteps: 1}},
} as const satisfies Record<string, Partial<dispatch.DispatcherSettings>>;

const UPSTREAMS = 20;
const SLOTS_PER_UPSTREAM = 2;
const SLOTS = UPSTREAMS * SLOTS_PER_UPSTREAM;
const END_MILLISECONDS = 6000;
const TICK_MILLISECONDS = 20;

/**
What became of the requests of one kind.
*/
export type Outcome = {
	requests: number;
	served: number;
	inTime: number;
	/**
	Work of the requests that were granted a slot while others arrived, and answered before their deadline.
	*/
	work: number;
	refusals: number;
	/**
	Refusals of requests that were queued for over 50 ms.
	*/
	lateRefusals: number;
};

/**
Outcomes by kind.
*/
export type Outcomes = Readonly<Record<string, Outcome>>;

type Grant = Extract<dispatch.Effect, {kind: 'grant'}>;
type Refusal = Extract<dispatch.Effect, {kind: 'refuse'}>;

type Caller = {
	readonly kind: string;
	readonly startedAt: number;
	sentAt: number;
};

/**
Is told what the dispatcher receives and answers.
*/
export type Observer = {
	readonly start?: (dispatcher: dispatch.Dispatcher) => void;
	readonly receive?: (request: dispatch.SlotRequest, now: number) => void;
	readonly grant?: (effect: Grant, now: number) => void;
	readonly refuse?: (effect: Refusal, now: number) => void;
	readonly end?: (id: dispatch.SlotRequestId, outcome: dispatch.Outcome) => void;
	/**
	Called once per simulated millisecond, after its events.
	*/
	readonly step?: (now: number) => void;
};

/**
A replay.
*/
export type Replay = {
	readonly settings: Partial<dispatch.DispatcherSettings>;
	readonly seed: number;
	/**
	Returns the milliseconds after which a refused caller returns; absent: as it was told.

	@param kind Name of the kind of its request.
	*/
	readonly getReturnDelay?: (retryAfterMilliseconds: number, kind: string) => number;
	readonly observer?: Observer;
};

/**
Replays 6 s of arrivals, and what is left of them.
*/
export function replay({kinds, getSlowness, isFailing}: Load, {settings, seed, getReturnDelay, observer}: Replay): Outcomes {
	const random = utils.createRandom(seed);
	const dispatcher = createDispatcher(Array.from({length: UPSTREAMS}, (_, index) => createCandidate(`u${index}`, {slots: SLOTS_PER_UPSTREAM})), settings);
	observer?.start?.(dispatcher);
	const outcomes = Object.fromEntries(Object.keys(kinds).map((kind): [string, Outcome] => [kind, {
		requests: 0, served: 0, inTime: 0, work: 0, refusals: 0, lateRefusals: 0,
	}]));
	const events = new Map<number, Array<() => void>>();
	const schedule = (at: number, event: () => void) => {
		const scheduled = events.get(Math.ceil(at)) ?? [];
		scheduled.push(event);
		events.set(Math.ceil(at), scheduled);
	};

	const callers = new Map<string, Caller>();
	const heldByUpstream = new Map<string, number>();
	let now = 0;

	const send = (id: string, organisation: string) => {
		const caller = callers.get(id)!;
		const {objective, deadline, priority} = kinds[caller.kind]!;
		const waited = now - caller.startedAt;
		caller.sentAt = now;
		const request = createSlotRequest(id, {
			organisation,
			priority,
			route: caller.kind,
			requestClass: priority === 1 ? 'non-idempotent' : 'read',
			waitedMilliseconds: waited,
			remainingMilliseconds: deadline - waited,
			objectiveMilliseconds: objective,
		});
		observer?.receive?.(request, now);
		apply(dispatcher.requestSlot(request, now));
	};

	const scheduleEnd = (id: string, upstream: string, outcome: dispatch.Outcome) => {
		schedule(now + outcome.milliseconds, () => {
			heldByUpstream.set(upstream, heldByUpstream.get(upstream)! - 1);
			observer?.end?.(id, outcome);
			apply(dispatcher.end(id, outcome, now));
		});
	};

	const scheduleReturn = (id: string, organisation: string, milliseconds: number) => {
		schedule(now + milliseconds, () => {
			send(id, organisation);
		});
	};

	const countGranted = (caller: Caller, milliseconds: number) => {
		const {objective, deadline} = kinds[caller.kind]!;
		const outcome = outcomes[caller.kind]!;
		const answeredAfter = now + milliseconds - caller.startedAt;
		outcome.served += answeredAfter <= deadline ? 1 : 0;
		outcome.inTime += answeredAfter <= objective ? 1 : 0;
		outcome.work += answeredAfter <= deadline && now < END_MILLISECONDS ? milliseconds : 0;
	};

	const applyGrant = (effect: Grant) => {
		observer?.grant?.(effect, now);
		const caller = callers.get(effect.request.id)!;
		const held = (heldByUpstream.get(effect.upstream) ?? 0) + 1;
		heldByUpstream.set(effect.upstream, held);
		const milliseconds = kinds[caller.kind]!.work * (0.7 + (random() * 0.6)) * (getSlowness?.(held) ?? 1);
		const isFailed = isFailing?.(now) === true;
		if (!isFailed) {
			countGranted(caller, milliseconds);
		}

		scheduleEnd(effect.request.id, effect.upstream, {ending: isFailed ? 'reset' : 'success', milliseconds});
	};

	const applyRefusal = (effect: Refusal) => {
		observer?.refuse?.(effect, now);
		const {id, organisation} = effect.request;
		const caller = callers.get(id)!;
		const {work, deadline} = kinds[caller.kind]!;
		const outcome = outcomes[caller.kind]!;
		outcome.refusals++;
		outcome.lateRefusals += now - caller.sentAt > 50 ? 1 : 0;
		const returnDelay = getReturnDelay?.(effect.retryAfterMilliseconds, caller.kind) ?? effect.retryAfterMilliseconds;
		if (now + returnDelay + work >= caller.startedAt + deadline) {
			return;
		}

		const nextId = `${id}+`;
		callers.set(nextId, {...caller});
		scheduleReturn(nextId, organisation!, returnDelay);
	};

	const apply = (effects: readonly dispatch.Effect[]) => {
		for (const effect of effects) {
			if (effect.kind === 'grant') {
				applyGrant(effect);
			} else if (effect.kind === 'refuse') {
				applyRefusal(effect);
			}
		}
	};

	for (; now < END_MILLISECONDS * 1.4; now++) {
		for (const event of events.get(now) ?? []) {
			event();
		}

		events.delete(now);
		for (const [kind, {getLoad, work, organisations}] of Object.entries(kinds)) {
			let expected = now < END_MILLISECONDS ? getLoad(now) * SLOTS / work : 0;
			for (; random() < expected; expected--) {
				const id = `${kind}-${now}-${expected}`;
				callers.set(id, {kind, startedAt: now, sentAt: now});
				outcomes[kind]!.requests++;
				send(id, `${organisations === 1 ? kind : 'organisation'}-${Math.floor(random() * organisations)}`);
			}
		}

		if (now % TICK_MILLISECONDS === 0) {
			apply(dispatcher.tick(now));
		}

		observer?.step?.(now);
	}

	return outcomes;
}

/**
Sums a field over the kinds.
*/
export function sum(outcomes: Outcomes, name: keyof Outcome): number {
	return Object.values(outcomes).reduce((total, outcome) => total + outcome[name], 0);
}

/**
Returns the part of the capacity that was used while requests arrived.
*/
export function getUse(outcomes: Outcomes): number {
	return sum(outcomes, 'work') / (SLOTS * END_MILLISECONDS);
}

/**
Describes outcomes for the log of a test.
*/
export function describe(outcomes: Outcomes): string {
	return Object.entries(outcomes).map(([kind, {requests, served, inTime, refusals, lateRefusals}]) =>
		`${kind} served ${(served / requests).toFixed(3)}, in time ${(inTime / requests).toFixed(3)}, refusals ${refusals}, of these after 50 ms ${lateRefusals}, of ${requests}`).join('; ');
}
