/**
Queue of a service whose requests are ordered by what it costs callers to delay or refuse them.
*/
import type {SlotRequest} from '../slot-requests.ts';
import {
	ARRIVAL_MILLISECONDS,
	EXAMINATION_INTERVAL_MILLISECONDS,
	MAX_CREDIT_REQUESTS,
	MAX_EXAMINED_PER_EVENT,
	MAX_PRIORITIES,
	MAX_SLOT_SPEED,
	ORGANISATION_EXPIRY_MILLISECONDS,
} from './constants.ts';
import {FairShares, type FairTag, getFairLevel} from './fair-shares.ts';
import {
	createForecasts,
	generateNext,
	getFloor,
	listMissing,
} from './plan.ts';
import {comparePlaces, getUrgency, type Place} from './precedence.ts';
import {ReleaseSpeed} from './release-speed.ts';

/**
A queued request and its place.
*/
export type OrderedEntry = Place & {
	readonly request: SlotRequest;
	readonly queuedAt: number;
	readonly deadlineAt: number;
	readonly isLate: boolean;
	readonly fairTag: FairTag;
};

/**
A request that can't be served in time any more, and its expected wait.
*/
export type Displaced = {
	readonly entry: OrderedEntry;
	readonly wait: number;
};

/**
What the dispatcher knows about a request that is queued.
*/
export type Arrival = {
	readonly request: SlotRequest;
	readonly work: number;
	readonly isLate: boolean;
	readonly queuedAt: number;
	readonly deadlineAt: number;
	/**
	Part of the usual time that must be left until the deadline.
	*/
	readonly worthwhilePart: number;
};

type EntryClass = {
	readonly urgency: number;
	readonly entries: OrderedEntry[];
	readonly shares: FairShares;
	work: number;
	arrivalSpeed: number;
	arrivalAt: number;
	lastWork: number;
	credit: number;
};

/**
Ordered queue. Times are monotonic, in milliseconds.
*/
export class OrderedQueue {
	readonly releaseSpeed = new ReleaseSpeed();
	readonly #workSteps: number;
	readonly #entries = new Map<string, OrderedEntry>();
	/**
	Sorted by urgency.
	*/
	readonly #classes: EntryClass[] = [];
	/**
	Priorities of the requests of the last few seconds.
	*/
	readonly #prioritySeenAt = new Map<number, number>();
	#slots = 0;
	#servingSlots = Infinity;
	#sequence = 0;
	#examinedAt = -Infinity;

	constructor(workSteps: number) {
		this.#workSteps = workSteps;
	}

	get size(): number {
		return this.#entries.size;
	}

	/**
	Returns the request that was queued first, if any.
	*/
	getFirst(): OrderedEntry | undefined {
		return this.#entries.values().next().value;
	}

	list(): readonly OrderedEntry[] {
		return this.#entries.values().toArray();
	}

	has(id: string): boolean {
		return this.#entries.has(id);
	}

	/**
	Sets the number of usable slots.
	*/
	setSlots(slots: number): void {
		this.#slots = slots;
	}

	/**
	Sets the number of slots of all upstreams that are not suspended, which bounds the expected speed: after a suspension, slots are also released
	at upstreams that get no queued requests any more.
	*/
	setServingSlots(slots: number): void {
		this.#servingSlots = slots;
	}

	/**
	Returns a valid priority: one that is no finite number counts as the lowest in use.
	*/
	normalizePriority(priority: number, now: number): number {
		return Number.isFinite(priority) ? Math.min(MAX_PRIORITIES - 1, Math.max(0, Math.round(priority))) : this.#getLowestPriority(now);
	}

	/**
	Returns whether more urgent priorities than this one are in use and none below it.
	*/
	isLowestOfSeveral(priority: number, now: number): boolean {
		const lowest = this.#getLowestPriority(now);
		return priority >= lowest && this.#prioritySeenAt.entries().some(([other, seenAt]) => other < lowest && now - seenAt <= ORGANISATION_EXPIRY_MILLISECONDS);
	}

	recordPriority(priority: number, now: number): void {
		this.#prioritySeenAt.set(priority, now);
	}

	/**
	Adds a request, in place of one with the same id. One that can't meet its objective any more gets the time until its deadline.
	*/
	add(arrival: Arrival, now: number): OrderedEntry {
		const {
			request, work, isLate, queuedAt, deadlineAt, worthwhilePart,
		} = arrival;
		this.remove(request.id);
		const urgency = getUrgency({
			priority: request.priority, isResend: request.isResend, isLate, work,
		}, this.#workSteps);
		const entryClass = this.#getClass(urgency);
		entryClass.arrivalSpeed = getArrivalSpeed(entryClass, now) + (work / ARRIVAL_MILLISECONDS);
		entryClass.arrivalAt = now;
		entryClass.lastWork = work;
		const fairTag = entryClass.shares.add(request.organisation, work, now);
		// Where the route has become slower than its objective, its requests keep their priority.
		const isDeadlineOnly = isLate || request.isResend || request.waitedMilliseconds + work > request.objectiveMilliseconds;
		this.#sequence++;
		const entry: OrderedEntry = {
			request,
			queuedAt,
			deadlineAt,
			isLate,
			fairTag,
			urgency,
			fairLevel: getFairLevel(fairTag),
			isReturning: request.waitedMilliseconds > 0,
			startBy: isDeadlineOnly
				? deadlineAt - (work * worthwhilePart)
				: Math.min(
					queuedAt + request.objectiveMilliseconds - Math.max(0, request.waitedMilliseconds) - work,
					deadlineAt - (work * worthwhilePart),
				),
			work,
			sequence: this.#sequence,
		};
		entryClass.entries.splice(findIndex(entryClass.entries, entry), 0, entry);
		entryClass.work += work;
		this.#entries.set(request.id, entry);
		return entry;
	}

	/**
	Removes a request that is not served here.
	*/
	remove(id: string): OrderedEntry | undefined {
		const entry = this.#delete(id);
		if (entry !== undefined) {
			this.#getClass(entry.urgency).shares.refund(entry.fairTag);
		}

		return entry;
	}

	/**
	Removes a request that was granted a slot.
	*/
	grant(id: string, now: number): OrderedEntry | undefined {
		const entry = this.#delete(id);
		if (entry === undefined) {
			return undefined;
		}

		const speeds = this.#classes.map(entryClass => getArrivalSpeed(entryClass, now));
		const totalArrivals = speeds.reduce((sum, speed) => sum + speed, 0);
		for (const [index, entryClass] of this.#classes.entries()) {
			if (entryClass.urgency === entry.urgency) {
				entryClass.shares.serve(entry.fairTag);
				entryClass.credit = Math.max(0, entryClass.credit - entry.work);
				continue;
			}

			const next = entryClass.entries[0]?.work ?? entry.work;
			entryClass.credit = Math.min(next * MAX_CREDIT_REQUESTS, entryClass.credit + (entry.work * getFloor(speeds[index]!, totalArrivals)));
		}

		return entry;
	}

	/**
	Generates the requests that get the next slots. Requests may be granted meanwhile.
	*/
	generateNext(limit: number, now: number): Iterable<OrderedEntry> {
		return generateNext(this.#getClasses(now), limit);
	}

	find(id: string): OrderedEntry | undefined {
		return this.#entries.get(id);
	}

	/**
	Returns the expected wait of a queued request in milliseconds.
	*/
	getExpectedWait(entry: OrderedEntry, now: number): number {
		const classes = this.#getClasses(now);
		const index = classes.findIndex(({urgency}) => urgency === entry.urgency);
		const {entries, work} = classes[index]!;
		const before = findIndex(entries, entry) * work / Math.max(1, entries.length);
		return createForecasts(classes, this.#getSpeed(now))[index]!(before, entry.work, true);
	}

	/**
	Returns the milliseconds after which all that is queued now and is as urgent as the request is expected to be served.
	*/
	getDrainMilliseconds({urgency}: Place, now: number): number {
		let work = 0;
		for (const entryClass of this.#classes) {
			work += entryClass.urgency <= urgency ? entryClass.work : 0;
		}

		return work / this.#getSpeed(now);
	}

	/**
	Lists the requests that can't be served in time any more. A long queue is examined at intervals, to bound the cost of each event.
	*/
	listMissing(now: number): readonly Displaced[] {
		if (this.#slots === 0 || this.size === 0 || (this.size > MAX_EXAMINED_PER_EVENT && now - this.#examinedAt < EXAMINATION_INTERVAL_MILLISECONDS)) {
			return [];
		}

		this.#examinedAt = now;
		return listMissing(this.#getClasses(now), this.#getSpeed(now), now);
	}

	#getSpeed(now: number): number {
		return Math.max(MIN_SPEED, Math.min(this.releaseSpeed.get(this.#slots, now), this.#servingSlots * MAX_SLOT_SPEED));
	}

	#getLowestPriority(now: number): number {
		let lowest = 0;
		for (const [priority, seenAt] of this.#prioritySeenAt) {
			lowest = now - seenAt <= ORGANISATION_EXPIRY_MILLISECONDS ? Math.max(lowest, priority) : lowest;
		}

		return lowest;
	}

	#getClasses(now: number) {
		return this.#classes.map(entryClass => {
			const arrivalSpeed = getArrivalSpeed(entryClass, now);
			// One standard deviation of the average of arrivals at random times.
			const deviation = Math.sqrt(arrivalSpeed * entryClass.lastWork / (2 * ARRIVAL_MILLISECONDS));
			return {
				urgency: entryClass.urgency,
				entries: entryClass.entries,
				work: entryClass.work,
				credit: entryClass.credit,
				arrivalSpeed,
				leastArrivalSpeed: Math.max(0, arrivalSpeed - deviation),
			};
		});
	}

	#getClass(urgency: number): EntryClass {
		const known = this.#classes.find(entryClass => entryClass.urgency === urgency);
		if (known !== undefined) {
			return known;
		}

		const created: EntryClass = {
			urgency, entries: [], shares: new FairShares(), work: 0, arrivalSpeed: 0, arrivalAt: 0, lastWork: 0, credit: 0,
		};
		const index = this.#classes.findIndex(other => other.urgency > urgency);
		this.#classes.splice(index === -1 ? this.#classes.length : index, 0, created);
		return created;
	}

	#delete(id: string): OrderedEntry | undefined {
		const entry = this.#entries.get(id);
		if (entry === undefined) {
			return undefined;
		}

		this.#entries.delete(id);
		const entryClass = this.#getClass(entry.urgency);
		entryClass.entries.splice(findIndex(entryClass.entries, entry), 1);
		entryClass.work = entryClass.entries.length === 0 ? 0 : entryClass.work - entry.work;
		return entry;
	}
}

/**
Lower bound of the speed, so that no wait is infinite.
*/
const MIN_SPEED = 0.001;

function getArrivalSpeed({arrivalSpeed, arrivalAt}: EntryClass, now: number): number {
	return arrivalSpeed * Math.exp((arrivalAt - now) / ARRIVAL_MILLISECONDS);
}

/**
Returns the index at which a request is or belongs, by binary search.
*/
function findIndex(entries: readonly OrderedEntry[], entry: Place): number {
	let from = 0;
	let to = entries.length;
	while (from < to) {
		const middle = Math.floor((from + to) / 2);
		[from, to] = comparePlaces(entries[middle]!, entry) < 0 ? [middle + 1, to] : [from, middle];
	}

	return from;
}
