/**
Oracle of the refusals in a replay: when does it become known that a queued request can't be served in time?

It has what the dispatcher has: the queued requests in their order, the slots and their expected release, usual response times, and the more urgent
work that has arrived. Unlike the dispatcher, which computes with the work ahead and one speed, it assigns each queued request to a slot.
*/
import * as dispatch from '../../index.ts';
import {ARRIVAL_MILLISECONDS, FLOOR_PART} from '../../order/constants.ts';
import {type OrderedEntry, OrderedQueue} from '../../order/index.ts';
import {SERVICE} from './fixture.ts';
import type {Observer} from './replay.ts';

/**
Interval at which the oracle examines the queue, and precision of the delays.
*/
const STEP_MILLISECONDS = 10;

/**
A refusal, and what the oracle knew of it.
*/
export type Refusal = {
	readonly reason: dispatch.RefusalReason;
	readonly at: number;
	readonly isQueued: boolean;
	/**
	Milliseconds since the oracle first expected the request to end after its deadline; 0 for a refusal on arrival, and where it didn't.
	*/
	readonly delay: number;
	/**
	The same since it has expected this without interruption.
	*/
	readonly steadyDelay: number;
	/**
	Whether the request was expected to be served in time: a newcomer within its objective, another one before its deadline.
	*/
	readonly isPremature: boolean;
};

type Held = {
	readonly upstream: string;
	readonly route: string;
	readonly grantedAt: number;
};

type ClassState = {
	/**
	Expected releases if only this class were served.
	*/
	readonly releases: number[];
	/**
	Part of all service that the class gets at least.
	*/
	readonly floor: number;
	/**
	Part of the slots that is left by more urgent arrivals.
	*/
	readonly partLeft: number;
};

/**
Oracle of one replay.
*/
export class RefusalOracle implements Observer {
	readonly refusals: Refusal[] = [];
	/**
	Requests that were once expected to end after their deadline, and were granted a slot in time for it.
	*/
	granted = 0;
	readonly #isOrdered: boolean;
	readonly #queue = new OrderedQueue(0);
	readonly #held = new Map<string, Held>();
	readonly #usual = new Map<string, number>();
	/**
	Work that arrived lately, by urgency; decays.
	*/
	readonly #arrivals = new Map<number, {readonly work: number; readonly at: number}>();
	readonly #knownAt = new Map<string, number>();
	readonly #steadyAt = new Map<string, number>();
	#dispatcher: dispatch.Dispatcher | undefined;

	constructor(isOrdered: boolean) {
		this.#isOrdered = isOrdered;
	}

	start(dispatcher: dispatch.Dispatcher): void {
		this.#dispatcher = dispatcher;
	}

	receive(request: dispatch.SlotRequest, now: number): void {
		const work = this.#getUsual(request);
		const isLate = request.waitedMilliseconds > 0 && request.waitedMilliseconds + work > request.objectiveMilliseconds;
		const {urgency} = this.#queue.add({
			request, work, isLate, queuedAt: now, deadlineAt: now + request.remainingMilliseconds, worthwhilePart: 0,
		}, now);
		this.#arrivals.set(urgency, {work: this.#getArrivals(urgency, now) + work, at: now});
	}

	grant({request, upstream}: Extract<dispatch.Effect, {kind: 'grant'}>, now: number): void {
		const {deadlineAt} = this.#queue.grant(request.id, now)!;
		this.granted += this.#knownAt.delete(request.id) && now + this.#getUsual(request) <= deadlineAt ? 1 : 0;
		this.#held.set(request.id, {upstream, route: request.route, grantedAt: now});
	}

	end(id: dispatch.SlotRequestId, {ending, milliseconds}: dispatch.Outcome): void {
		const {route} = this.#held.get(id)!;
		this.#held.delete(id);
		if (ending === 'success') {
			this.#usual.set(route, dispatch.averageUsualMilliseconds(this.#usual.get(route), milliseconds));
		}
	}

	refuse({request: {id}, reason}: Extract<dispatch.Effect, {kind: 'refuse'}>, now: number): void {
		const entry = this.#queue.find(id)!;
		const {waitedMilliseconds, objectiveMilliseconds} = entry.request;
		const limit = waitedMilliseconds > 0 ? entry.deadlineAt : entry.queuedAt + objectiveMilliseconds;
		const end = this.#listEnds(now).find(([other]) => other === entry)![1];
		this.refusals.push({
			reason,
			at: now,
			isQueued: entry.queuedAt < now,
			delay: now - (this.#knownAt.get(id) ?? now),
			steadyDelay: now - (this.#steadyAt.get(id) ?? now),
			isPremature: end <= limit,
		});
		this.#queue.remove(id);
	}

	step(now: number): void {
		if (now % STEP_MILLISECONDS !== 0) {
			return;
		}

		for (const [{request: {id}, deadlineAt}, end] of this.#listEnds(now)) {
			if (end > deadlineAt) {
				this.#knownAt.set(id, this.#knownAt.get(id) ?? now);
				this.#steadyAt.set(id, this.#steadyAt.get(id) ?? now);
			} else {
				this.#steadyAt.delete(id);
			}
		}
	}

	/**
	Lists the queued requests with the times at which they are expected to end.
	*/
	#listEnds(now: number): ReadonlyArray<readonly [OrderedEntry, number]> {
		const releases = this.#listReleases(now);
		const classes = this.#describeClasses(releases, now);
		return this.#listQueued(now).map(entry => {
			const usual = this.#getUsual(entry.request);
			const start = takeSlot(releases, usual);
			if (!this.#isOrdered || start <= now) {
				return [entry, start + usual];
			}

			const {releases: ownReleases, floor, partLeft} = classes.get(entry.urgency)!;
			const ownStart = takeSlot(ownReleases, usual);
			return [entry, now + Math.min((start - now) / partLeft, (ownStart - now) / floor) + usual];
		});
	}

	/**
	Lists the queued requests in the order in which they get slots if nothing else arrives.
	*/
	#listQueued(now: number): readonly OrderedEntry[] {
		return this.#isOrdered
			? [...this.#queue.generateNext(Infinity, now)]
			: this.#queue.list().toSorted((a, b) => this.#getArrivalKey(a) - this.#getArrivalKey(b));
	}

	#getArrivalKey({request, queuedAt}: OrderedEntry): number {
		const {rankMilliseconds, lateMilliseconds} = dispatch.DEFAULT_POLICY;
		const isMissed = request.waitedMilliseconds + this.#getUsual(request) > request.objectiveMilliseconds;
		return queuedAt + (request.priority * rankMilliseconds) + (isMissed ? lateMilliseconds : 0);
	}

	/**
	Lists the times at which the slots of the upstreams that aren't suspended are expected to be released.
	*/
	#listReleases(now: number): number[] {
		const usable = this.#dispatcher!.report(SERVICE, now).filter(({isSuspended}) => !isSuspended);
		const names = new Set(usable.map(({upstream}) => upstream));
		const held = this.#held.values().filter(({upstream}) => names.has(upstream)).toArray();
		const slots = usable.reduce((total, upstream) => total + upstream.slots, 0);
		return Array.from({length: Math.max(slots, held.length)}, (_, index) => {
			const {route, grantedAt} = held[index] ?? {route: '', grantedAt: now};
			return Math.max(now, grantedAt + (this.#usual.get(route) ?? 0));
		});
	}

	#describeClasses(releases: readonly number[], now: number): ReadonlyMap<number, ClassState> {
		const work = this.#arrivals.keys().map(urgency => [urgency, this.#getArrivals(urgency, now)] as const).toArray().toSorted(([a], [b]) => a - b);
		const total = work.reduce((sum, [, arrivals]) => sum + arrivals, 0);
		let before = 0;
		return new Map(work.map(([urgency, arrivals]) => {
			const partLeft = Math.max(0, 1 - (before / ARRIVAL_MILLISECONDS / releases.length));
			before += arrivals;
			return [urgency, {releases: [...releases], floor: FLOOR_PART * arrivals / total, partLeft}];
		}));
	}

	#getUsual({route, objectiveMilliseconds}: dispatch.SlotRequest): number {
		return dispatch.estimateUsualMilliseconds(this.#usual.get(route), objectiveMilliseconds);
	}

	#getArrivals(urgency: number, now: number): number {
		const {work, at} = this.#arrivals.get(urgency) ?? {work: 0, at: now};
		return work * Math.exp((at - now) / ARRIVAL_MILLISECONDS);
	}
}

/**
Takes the slot that is released first, and returns the time; infinite without slots.
*/
function takeSlot(releases: number[], milliseconds: number): number {
	let first = 0;
	for (let index = 1; index < releases.length; index++) {
		first = releases[index]! < releases[first]! ? index : first;
	}

	const start = releases[first] ?? Infinity;
	if (releases.length > 0) {
		releases[first] = start + milliseconds;
	}

	return start;
}
