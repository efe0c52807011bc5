/**
Counts the requests that dispatchers admitted for an entry host in the last window, by service, organisation and dispatcher.

A dispatcher that the host turns to may not know this usage: it has just started, or receives nothing from the dispatchers that admitted the requests. Without a report
it would admit the same burst again.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import {RECENT_USAGE_SLICES} from './constants.ts';

/**
A request that a dispatcher admitted.
*/
export type AdmittedRequest = {
	readonly service: core.ServiceName;
	readonly organisation: core.Organisation;
	/**
	Identifies the dispatcher.
	*/
	readonly admittedBy: object;
};

/**
Recent usage of an entry host.
*/
export type RecentUsage = {
	readonly record: (request: AdmittedRequest) => void;
	/**
	Returns all that other dispatchers admitted in the last window. Undefined if the dispatcher was reported to within the window, or if this host has run for less than a
	window: what was admitted for its callers through other hosts before is unknown.
	*/
	readonly collectUnreported: (dispatcher: object) => readonly allotments.PastUsage[] | undefined;
	/**
	Records that a dispatcher answered.
	*/
	readonly recordAnswer: (dispatcher: object) => void;
	/**
	Lends the bursts to a dispatcher.

	@returns False if they were lent in the last window, or unless the dispatcher is the last one that was reported to and has answered since: a dispatcher that has failed
	would keep them.
	*/
	readonly lendBurst: (dispatcher: object) => boolean;
};

type Slice = AdmittedRequest & {
	/**
	Time of the last request: with an earlier time, the requests would leave the dispatcher's window too soon.
	*/
	at: number;
	requests: number;
};

/**
Creates an empty record.

@param now Monotonic time in milliseconds.
*/
export function createRecentUsage(now: () => number, windowMilliseconds: number): RecentUsage {
	const startedAt = now();
	const sliceMilliseconds = windowMilliseconds / RECENT_USAGE_SLICES;
	/**
	In the order of their first requests.
	*/
	const slices = new Map<string, Slice>();
	const dispatcherNumbers = new WeakMap<object, number>();
	const reportedAt = new WeakMap<object, number>();
	let dispatcherCount = 0;
	let lastReportedDispatcher: object | undefined;
	let isLastReportedResponsive = false;
	let burstLentAt = -Infinity;

	const getDispatcherNumber = (dispatcher: object) => {
		const known = dispatcherNumbers.get(dispatcher);
		if (known !== undefined) {
			return known;
		}

		dispatcherCount++;
		dispatcherNumbers.set(dispatcher, dispatcherCount);
		return dispatcherCount;
	};

	const evictExpired = () => {
		for (const [key, {at}] of slices) {
			if (now() - at <= windowMilliseconds) {
				break;
			}

			slices.delete(key);
		}
	};

	return {
		record({service, organisation, admittedBy}) {
			evictExpired();
			const sliceNumber = Math.floor(now() / sliceMilliseconds);
			const key = `${sliceNumber} ${getDispatcherNumber(admittedBy)} ${service} ${organisation}`;
			const slice = slices.get(key) ?? {
				service, organisation, admittedBy, at: now(), requests: 0,
			};
			slice.at = now();
			slice.requests++;
			slices.set(key, slice);
		},
		collectUnreported(dispatcher) {
			const since = Math.max(startedAt, reportedAt.get(dispatcher) ?? -Infinity);
			reportedAt.set(dispatcher, now());
			if (now() - since <= windowMilliseconds) {
				return undefined;
			}

			lastReportedDispatcher = dispatcher;
			isLastReportedResponsive = false;
			evictExpired();
			return slices.values()
				.filter(({admittedBy}) => admittedBy !== dispatcher)
				.map(({service, organisation, requests, at}): allotments.PastUsage => [service, organisation, requests, Math.round(now() - at)])
				.toArray();
		},
		recordAnswer(dispatcher) {
			isLastReportedResponsive ||= dispatcher === lastReportedDispatcher;
		},
		lendBurst(dispatcher) {
			if (dispatcher !== lastReportedDispatcher || !isLastReportedResponsive || now() - burstLentAt <= windowMilliseconds) {
				return false;
			}

			lastReportedDispatcher = undefined;
			burstLentAt = now();
			return true;
		},
	};
}
