/**
What the organisations that call an entry host were admitted in the last while, and by which dispatcher.

A dispatcher that the host turns to may know nothing of it: it has just started, or those that admitted the requests can not be heard. Told nothing, it would
admit the same burst once more.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import {RECENT_USAGE_SLICES} from './constants.ts';

/**
A request that was admitted.
*/
export type AdmittedRequest = {
	readonly service: core.ServiceName;
	readonly organisation: core.Organisation;
	/**
	Stands for the dispatcher that admitted it.
	*/
	readonly admittedBy: object;
};

/**
Recent uses of a host.
*/
export type RecentUsage = {
	readonly record: (request: AdmittedRequest) => void;
	/**
	Returns all that other dispatchers admitted in the last window; undefined for one that was told within it, and on a host that has not run for so long: what its
	callers were admitted through other hosts before is unknown.
	*/
	readonly collectUnreported: (dispatcher: object) => readonly allotments.PastUsage[] | undefined;
};

type Slice = AdmittedRequest & {
	/**
	Time of its last request: taken for older, what it holds would be out of the dispatcher's window too soon.
	*/
	at: number;
	requests: number;
};

/**
Creates an empty table.

@param now Monotonic time in milliseconds.
*/
export function createRecentUsage(now: () => number, windowMilliseconds: number): RecentUsage {
	const startedAt = now();
	const sliceMilliseconds = windowMilliseconds / RECENT_USAGE_SLICES;
	/**
	In the order of their first times.
	*/
	const slices = new Map<string, Slice>();
	const dispatcherNumbers = new WeakMap<object, number>();
	const reportedAt = new WeakMap<object, number>();
	let dispatcherCount = 0;

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

			evictExpired();
			return slices.values()
				.filter(({admittedBy}) => admittedBy !== dispatcher)
				.map(({service, organisation, requests, at}): allotments.PastUsage => [service, organisation, requests, Math.round(now() - at)])
				.toArray();
		},
	};
}
