/**
Waiting requests in max-min fair order of their organisations (start-time fair queueing).

Each organisation has a tag that grows with what it has been served; the waiting organisation with the smallest tag is
served next. One that comes anew starts at the tag being served: it neither saves up for the time it was away nor pays for
it. So only organisations with a request in flight or waiting need an entry, and a bounded number of idle ones that are ahead
of the rest: memory follows these, not the number of organisations ever seen. Held in a closure, with entries reused, as
every request passes here.
*/
import {MAX_FREE_MEMBERS, MAX_OWING_MEMBERS} from './constants.ts';

/**
A waiting request.
*/
export type Ticket = {
	readonly organisation: string;
	/**
	Time after which starting it is of no use, in ms.
	*/
	readonly latestStart: number;
	/**
	Whether the caller's deadline, and not the length of the queue, sets `latestStart`.
	*/
	readonly isByDeadline: boolean;
};

type Member = {
	organisation: string;
	tag: number;
	inFlight: number;
	waiting: Ticket[];
};

/**
The queue with the requests in flight by organisation.
*/
export type FairQueue = {
	readonly getWaiting: () => number;
	readonly getWaitingOrganisations: () => number;
	readonly getActiveOrganisations: () => number;
	readonly getWaitingOf: (organisation: string) => number;
	readonly getInFlightOf: (organisation: string) => number;
	readonly start: (organisation: string) => void;
	/**
	Ends a request; `cost` is what it used, in requests of usual latency.
	*/
	readonly end: (organisation: string, cost: number) => void;
	readonly enqueue: (ticket: Ticket) => void;
	/**
	Takes the next request of an organisation with fewer than `maxInFlight` in flight.
	*/
	readonly dequeue: (maxInFlight: number) => Ticket | undefined;
	readonly remove: (ticket: Ticket) => boolean;
	/**
	Takes the last request of the organisation that has the most waiting, if it has more than `least`.
	*/
	readonly removeFromLongest: (least: number) => Ticket | undefined;
	readonly removeLate: (now: number) => readonly Ticket[];
};

const NO_TICKETS: readonly Ticket[] = [];
// The cost of one request is bounded, so that one very long answer does not shut its organisation out.
const MAX_COST = 16;

/**
Creates an empty queue.
*/
export function createFairQueue(): FairQueue {
	const members = new Map<string, Member>();
	const waitingMembers = new Set<Member>();
	const free: Member[] = [];
	// Idle organisations that were served ahead of the rest, oldest first: forgetting them would let one that sends its
	// costly requests one by one start anew each time.
	const owing = new Set<Member>();
	let waiting = 0;
	let served = 0;
	// No waiting request is late before this: most calls need not look at them.
	let earliestLate = Infinity;

	const getMember = (organisation: string): Member => {
		const known = members.get(organisation);
		if (known !== undefined) {
			known.tag = owing.delete(known) ? Math.max(known.tag, served) : known.tag;
			return known;
		}

		const member = free.pop() ?? {
			organisation, tag: served, inFlight: 0, waiting: [],
		};
		member.organisation = organisation;
		member.tag = served;
		members.set(organisation, member);
		return member;
	};

	const forget = (member: Member) => {
		owing.delete(member);
		members.delete(member.organisation);
		if (free.length < MAX_FREE_MEMBERS) {
			free.push(member);
		}
	};

	const forgetIdle = (member: Member) => {
		if (member.waiting.length === 0) {
			waitingMembers.delete(member);
		}

		if (member.inFlight === 0 && member.waiting.length === 0) {
			owing.add(member);
		}

		for (const idle of owing) {
			if (idle.tag > served && owing.size <= MAX_OWING_MEMBERS) {
				break;
			}

			forget(idle);
		}
	};

	const start = (member: Member) => {
		served = Math.max(served, member.tag);
		member.tag = served + 1;
		member.inFlight++;
	};

	const take = (member: Member, index: number): Ticket => {
		const [ticket] = member.waiting.splice(index, 1);
		waiting--;
		return ticket!;
	};

	return {
		getWaiting: () => waiting,
		getWaitingOrganisations: () => waitingMembers.size,
		getActiveOrganisations: () => members.size - owing.size,
		getWaitingOf: organisation => members.get(organisation)?.waiting.length ?? 0,
		getInFlightOf: organisation => members.get(organisation)?.inFlight ?? 0,
		start(organisation) {
			start(getMember(organisation));
		},
		end(organisation, cost) {
			const member = getMember(organisation);
			member.inFlight--;
			// The start was charged as one usual request.
			member.tag += Math.min(MAX_COST, cost) - 1;
			forgetIdle(member);
		},
		enqueue(ticket) {
			const member = getMember(ticket.organisation);
			member.waiting.push(ticket);
			earliestLate = Math.min(earliestLate, ticket.latestStart);
			waitingMembers.add(member);
			waiting++;
		},
		dequeue(maxInFlight) {
			const member = findNext(waitingMembers, maxInFlight);
			if (member === undefined) {
				return undefined;
			}

			const ticket = take(member, 0);
			start(member);
			forgetIdle(member);
			return ticket;
		},
		remove(ticket) {
			const member = members.get(ticket.organisation);
			const index = member?.waiting.indexOf(ticket) ?? -1;
			if (member === undefined || index === -1) {
				return false;
			}

			take(member, index);
			forgetIdle(member);
			return true;
		},
		removeFromLongest(least) {
			const member = findLongest(waitingMembers);
			if (member === undefined || member.waiting.length <= least) {
				return undefined;
			}

			const ticket = take(member, member.waiting.length - 1);
			forgetIdle(member);
			return ticket;
		},
		removeLate(now) {
			if (waiting === 0 || now <= earliestLate) {
				return NO_TICKETS;
			}

			const late: Ticket[] = [];
			earliestLate = Infinity;
			for (const member of waitingMembers) {
				earliestLate = Math.min(earliestLate, getEarliestLate(member.waiting, now));
				const kept = member.waiting.filter(({latestStart}) => latestStart >= now);
				if (!(kept.length < member.waiting.length)) {
					continue;
				}

				late.push(...member.waiting.filter(({latestStart}) => latestStart < now));
				waiting -= member.waiting.length - kept.length;
				member.waiting = kept;
				forgetIdle(member);
			}

			return late;
		},
	};
}

function getEarliestLate(tickets: readonly Ticket[], now: number): number {
	let earliest = Infinity;
	for (const {latestStart} of tickets) {
		earliest = latestStart < now ? earliest : Math.min(earliest, latestStart);
	}

	return earliest;
}

function findNext(members: Iterable<Member>, maxInFlight: number): Member | undefined {
	let next: Member | undefined;
	for (const member of members) {
		if (member.inFlight < maxInFlight && (next === undefined || member.tag < next.tag)) {
			next = member;
		}
	}

	return next;
}

function findLongest(members: Iterable<Member>): Member | undefined {
	let longest: Member | undefined;
	for (const member of members) {
		if (longest === undefined || member.waiting.length > longest.waiting.length) {
			longest = member;
		}
	}

	return longest;
}
