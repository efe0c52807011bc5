/**
Replays of named loads through the dispatcher with a simulated clock, with queued requests in the order of arrival, by priority, and by value per
unit of work. A refused caller returns after the delay that it was told, while its deadline allows.
*/
import test from 'ava';
import * as utils from 'wagtailroute-utils';
import * as dispatch from '../../index.ts';
import {createCandidate, createDispatcher, createSlotRequest} from './fixture.ts';

type Kind = {
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

type Load = {
	readonly name: string;
	readonly kinds: Readonly<Record<string, Kind>>;
	/**
	Least part of the requests of some kinds that has to be answered in time, ordered by priority.
	*/
	readonly inTime: Readonly<Record<string, number>>;
};

const THREE_PRIORITIES: Load = {
	name: 'three priorities at 1.5 times the capacity',
	kinds: {
		lookup: {...LOOKUP, getLoad: () => 0.5}, post: {...POST, getLoad: () => 0.5}, bundle: {...BUNDLE, getLoad: () => 0.5},
	},
	inTime: {lookup: 0.95, post: 0.5},
};
const BURST: Load = {
	name: 'a burst of the least urgent',
	kinds: {
		lookup: {...LOOKUP, getLoad: () => 0.35}, post: {...POST, getLoad: () => 0.3}, bundle: {...BUNDLE, getLoad: at => at > 1500 && at < 3000 ? 2.5 : 0.1},
	},
	inTime: {lookup: 0.95, post: 0.95},
};
const URGENT: Load = {
	name: 'the most urgent alone at twice the capacity',
	kinds: {
		lookup: {...LOOKUP, getLoad: () => 2}, bundle: {...BUNDLE, getLoad: () => 0.4},
	},
	inTime: {},
};
const FLOOD: Load = {
	name: 'an organisation that floods',
	kinds: {
		others: {...POST, getLoad: () => 0.7}, flooding: {...POST, organisations: 1, getLoad: at => at > 1000 ? 1.2 : 0.1},
	},
	inTime: {others: 0.85},
};

const ORDERS = {
	arrival: {},
	priority: {isOrderedByCost: () => true},
	value: {isOrderedByCost: () => true, policy: {...dispatch.DEFAULT_POLICY, orderWorkSteps: 1}},
} as const satisfies Record<string, Partial<dispatch.DispatcherSettings>>;

const UPSTREAMS = 20;
const SLOTS = UPSTREAMS * 2;
const END_MILLISECONDS = 6000;
const TICK_MILLISECONDS = 20;

type Outcome = {
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

function replay({kinds}: Load, settings: Partial<dispatch.DispatcherSettings>, seed: number): Readonly<Record<string, Outcome>> {
	const random = utils.createRandom(seed);
	const dispatcher = createDispatcher(Array.from({length: UPSTREAMS}, (_, index) => createCandidate(`u${index}`)), settings);
	const outcomes = Object.fromEntries(Object.keys(kinds).map((kind): [string, Outcome] => [kind, {
		requests: 0, served: 0, inTime: 0, work: 0, refusals: 0, lateRefusals: 0,
	}]));
	const events = new Map<number, Array<() => void>>();
	const schedule = (at: number, event: () => void) => {
		events.set(Math.ceil(at), [...events.get(Math.ceil(at)) ?? [], event]);
	};

	const callers = new Map<string, {readonly kind: string; readonly startedAt: number; sentAt: number}>();
	let now = 0;

	const send = (id: string, organisation: string) => {
		const caller = callers.get(id)!;
		const {objective, deadline, priority} = kinds[caller.kind]!;
		const waited = now - caller.startedAt;
		caller.sentAt = now;
		apply(dispatcher.requestSlot(createSlotRequest(id, {
			organisation,
			priority,
			route: caller.kind,
			requestClass: priority === 1 ? 'non-idempotent' : 'read',
			waitedMilliseconds: waited,
			remainingMilliseconds: deadline - waited,
			objectiveMilliseconds: objective,
		}), now));
	};

	const scheduleEnd = (id: string, milliseconds: number) => {
		schedule(now + milliseconds, () => {
			apply(dispatcher.end(id, {ending: 'success', milliseconds}, now));
		});
	};

	const scheduleReturn = (id: string, organisation: string, milliseconds: number) => {
		schedule(now + milliseconds, () => {
			send(id, organisation);
		});
	};

	const apply = (effects: readonly dispatch.Effect[]) => {
		for (const effect of effects) {
			if (effect.kind !== 'grant' && effect.kind !== 'refuse') {
				continue;
			}

			const {id, organisation} = effect.request;
			const caller = callers.get(id)!;
			const {work, objective, deadline} = kinds[caller.kind]!;
			const outcome = outcomes[caller.kind]!;
			if (effect.kind === 'grant') {
				const milliseconds = work * (0.7 + (random() * 0.6));
				const answeredAfter = now + milliseconds - caller.startedAt;
				outcome.served += answeredAfter <= deadline ? 1 : 0;
				outcome.inTime += answeredAfter <= objective ? 1 : 0;
				outcome.work += answeredAfter <= deadline && now < END_MILLISECONDS ? milliseconds : 0;
				scheduleEnd(id, milliseconds);
				continue;
			}

			outcome.refusals++;
			outcome.lateRefusals += now - caller.sentAt > 50 ? 1 : 0;
			if (now + effect.retryAfterMilliseconds + work >= caller.startedAt + deadline) {
				continue;
			}

			const nextId = `${id}+`;
			callers.set(nextId, {...caller});
			scheduleReturn(nextId, organisation!, effect.retryAfterMilliseconds);
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
	}

	return outcomes;
}

function sum(outcomes: Readonly<Record<string, Outcome>>, name: keyof Outcome): number {
	return Object.values(outcomes).reduce((total, outcome) => total + outcome[name], 0);
}

/**
Returns the part of the capacity that was used while requests arrived.
*/
function getUse(outcomes: Readonly<Record<string, Outcome>>): number {
	return sum(outcomes, 'work') / (SLOTS * END_MILLISECONDS);
}

function describe(outcomes: Readonly<Record<string, Outcome>>): string {
	return Object.entries(outcomes).map(([kind, {requests, served, inTime, refusals, lateRefusals}]) =>
		`${kind} served ${(served / requests).toFixed(3)}, in time ${(inTime / requests).toFixed(3)}, refusals ${refusals}, of these after 50 ms ${lateRefusals}, of ${requests}`).join('; ');
}

for (const load of [THREE_PRIORITIES, BURST, URGENT, FLOOD]) {
	test(load.name, t => {
		// A replay takes up to 2 s on a busy machine.
		t.timeout(60_000);
		// Guards against overload in which chance decides who is refused: in the order of arrival, the kind with the shortest objective was refused most
		// often, whatever its priority, and one organisation's flood took over half of the slots.
		for (const [order, settings] of Object.entries(ORDERS)) {
			const outcomes = replay(load, settings, 1);
			t.log(order, `slots used ${getUse(outcomes).toFixed(3)}`, describe(outcomes));
		}

		const outcomes = replay(load, ORDERS.priority, 2);
		// The order must not leave slots unused that the order of arrival uses.
		t.true(getUse(outcomes) >= getUse(replay(load, ORDERS.arrival, 2)) - 0.03);
		const served = Object.values(outcomes).map(outcome => outcome.served / outcome.requests);
		const total = sum(outcomes, 'served') / sum(outcomes, 'requests');
		for (const [index, part] of served.entries()) {
			t.true(part >= total / 3, describe(outcomes));
			t.true(part >= (served[index + 1] ?? 0) - 0.05, describe(outcomes));
		}

		for (const [kind, least] of Object.entries(load.inTime)) {
			t.true(outcomes[kind]!.inTime / outcomes[kind]!.requests >= least, describe(outcomes));
		}
	});
}
