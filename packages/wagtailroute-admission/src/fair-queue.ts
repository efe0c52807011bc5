/**
Queue of waiting requests, max-min fair to their organisations (start-time fair queueing).

Each organisation has a flow with a start tag that grows with the service it has received. The waiting flow with the smallest
start tag is served next. A new flow starts at the virtual time, the highest start tag served so far: an organisation
neither gains nor loses by the time it was idle. Memory is needed only for flows with requests in flight or waiting and for a bounded number of
idle flows whose tags are ahead of the virtual time; it does not grow with the number of organisations ever seen. The state
is mutable, in a closure, and flow objects are reused, because this runs for every request.
*/
import {MAX_FREE_FLOWS, MAX_IDLE_FLOWS} from './constants.ts';

/**
A waiting request.
*/
export type Ticket = {
	readonly organisation: string;
	/**
	Time after which the request must no longer start, in milliseconds of a monotonic clock.
	*/
	readonly latestStart: number;
	/**
	Whether `latestStart` is set by the caller's deadline rather than by the maximum wait in the queue.
	*/
	readonly isLimitedByDeadline: boolean;
};

type Flow = {
	organisation: string;
	/**
	Start tag of the flow's next request, in requests of usual latency.
	*/
	startTag: number;
	inFlight: number;
	waiting: Ticket[];
};

/**
The queue. It also counts requests in flight by organisation.
*/
export type FairQueue = {
	readonly countWaiting: () => number;
	readonly countWaitingOrganisations: () => number;
	/**
	Counts organisations with requests in flight or waiting.
	*/
	readonly countActiveOrganisations: () => number;
	readonly countWaitingOf: (organisation: string) => number;
	readonly countInFlightOf: (organisation: string) => number;
	/**
	Records the start of a request that did not wait.
	*/
	readonly start: (organisation: string) => void;
	/**
	Records the end of a request.

	@param cost Service it used, in requests of usual latency.
	*/
	readonly end: (organisation: string, cost: number) => void;
	readonly enqueue: (ticket: Ticket) => void;
	/**
	Removes and starts the next request, among organisations with fewer than `maxInFlight` in flight.
	*/
	readonly dequeue: (maxInFlight: number) => Ticket | undefined;
	readonly remove: (ticket: Ticket) => boolean;
	/**
	Removes the last request of the organisation with the most waiting, if it has more than `threshold` waiting.
	*/
	readonly removeFromLongest: (threshold: number) => Ticket | undefined;
	/**
	Removes all requests whose `latestStart` has passed.
	*/
	readonly removeExpired: (now: number) => readonly Ticket[];
};

const NO_TICKETS: readonly Ticket[] = [];
// Maximum cost of one request, so that one very long answer does not block its organisation.
const MAX_REQUEST_COST = 16;

/**
Creates an empty queue.
*/
export function createFairQueue(): FairQueue {
	const flows = new Map<string, Flow>();
	const waitingFlows = new Set<Flow>();
	const freeFlows: Flow[] = [];
	// Idle flows whose start tags are ahead of the virtual time, oldest first. Without them, an organisation that sends costly
	// requests one by one would have its tag reset each time.
	const idleFlows = new Set<Flow>();
	let waiting = 0;
	let virtualTime = 0;
	// No waiting request expires before this time, so that most calls need not search for expired requests.
	let earliestExpiry = Infinity;

	const getFlow = (organisation: string): Flow => {
		const known = flows.get(organisation);
		if (known !== undefined) {
			known.startTag = idleFlows.delete(known) ? Math.max(known.startTag, virtualTime) : known.startTag;
			return known;
		}

		const flow = freeFlows.pop() ?? {
			organisation, startTag: virtualTime, inFlight: 0, waiting: [],
		};
		flow.organisation = organisation;
		flow.startTag = virtualTime;
		flows.set(organisation, flow);
		return flow;
	};

	const deleteFlow = (flow: Flow) => {
		idleFlows.delete(flow);
		flows.delete(flow.organisation);
		if (freeFlows.length < MAX_FREE_FLOWS) {
			freeFlows.push(flow);
		}
	};

	const updateFlowState = (flow: Flow) => {
		if (flow.waiting.length === 0) {
			waitingFlows.delete(flow);
		}

		if (flow.inFlight === 0 && flow.waiting.length === 0) {
			idleFlows.add(flow);
		}

		for (const idle of idleFlows) {
			if (idle.startTag > virtualTime && idleFlows.size <= MAX_IDLE_FLOWS) {
				break;
			}

			deleteFlow(idle);
		}
	};

	const start = (flow: Flow) => {
		virtualTime = Math.max(virtualTime, flow.startTag);
		flow.startTag = virtualTime + 1;
		flow.inFlight++;
	};

	const removeTicketAt = (flow: Flow, index: number): Ticket => {
		const [ticket] = flow.waiting.splice(index, 1);
		waiting--;
		return ticket!;
	};

	return {
		countWaiting: () => waiting,
		countWaitingOrganisations: () => waitingFlows.size,
		countActiveOrganisations: () => flows.size - idleFlows.size,
		countWaitingOf: organisation => flows.get(organisation)?.waiting.length ?? 0,
		countInFlightOf: organisation => flows.get(organisation)?.inFlight ?? 0,
		start(organisation) {
			start(getFlow(organisation));
		},
		end(organisation, cost) {
			const flow = getFlow(organisation);
			flow.inFlight--;
			// The start already added the cost of one usual request.
			flow.startTag += Math.min(MAX_REQUEST_COST, cost) - 1;
			updateFlowState(flow);
		},
		enqueue(ticket) {
			const flow = getFlow(ticket.organisation);
			flow.waiting.push(ticket);
			earliestExpiry = Math.min(earliestExpiry, ticket.latestStart);
			waitingFlows.add(flow);
			waiting++;
		},
		dequeue(maxInFlight) {
			const flow = findNext(waitingFlows, maxInFlight);
			if (flow === undefined) {
				return undefined;
			}

			const ticket = removeTicketAt(flow, 0);
			start(flow);
			updateFlowState(flow);
			return ticket;
		},
		remove(ticket) {
			const flow = flows.get(ticket.organisation);
			const index = flow?.waiting.indexOf(ticket) ?? -1;
			if (flow === undefined || index === -1) {
				return false;
			}

			removeTicketAt(flow, index);
			updateFlowState(flow);
			return true;
		},
		removeFromLongest(threshold) {
			const flow = findLongest(waitingFlows);
			if (flow === undefined || flow.waiting.length <= threshold) {
				return undefined;
			}

			const ticket = removeTicketAt(flow, flow.waiting.length - 1);
			updateFlowState(flow);
			return ticket;
		},
		removeExpired(now) {
			if (waiting === 0 || now <= earliestExpiry) {
				return NO_TICKETS;
			}

			const expired: Ticket[] = [];
			earliestExpiry = Infinity;
			for (const flow of waitingFlows) {
				earliestExpiry = Math.min(earliestExpiry, getEarliestExpiry(flow.waiting, now));
				const kept = flow.waiting.filter(({latestStart}) => latestStart >= now);
				if (!(kept.length < flow.waiting.length)) {
					continue;
				}

				expired.push(...flow.waiting.filter(({latestStart}) => latestStart < now));
				waiting -= flow.waiting.length - kept.length;
				flow.waiting = kept;
				updateFlowState(flow);
			}

			return expired;
		},
	};
}

function getEarliestExpiry(tickets: readonly Ticket[], now: number): number {
	let earliest = Infinity;
	for (const {latestStart} of tickets) {
		earliest = latestStart < now ? earliest : Math.min(earliest, latestStart);
	}

	return earliest;
}

function findNext(flows: Iterable<Flow>, maxInFlight: number): Flow | undefined {
	let next: Flow | undefined;
	for (const flow of flows) {
		if (flow.inFlight < maxInFlight && (next === undefined || flow.startTag < next.startTag)) {
			next = flow;
		}
	}

	return next;
}

function findLongest(flows: Iterable<Flow>): Flow | undefined {
	let longest: Flow | undefined;
	for (const flow of flows) {
		if (longest === undefined || flow.waiting.length > longest.waiting.length) {
			longest = flow;
		}
	}

	return longest;
}
