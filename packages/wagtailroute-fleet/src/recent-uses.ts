/**
What the organisations that call an entry host were admitted in the last while, and by which dispatcher.

A dispatcher that the host turns to may know nothing of it: it has just started, or those that admitted the requests can not be heard. Told nothing, it would
admit the same burst once more.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import {RECENT_USE_SLICES} from './constants.ts';

/**
A request that was admitted.
*/
export type AdmittedUse = {
	readonly service: core.ServiceName;
	readonly organisation: core.Organisation;
	/**
	Stands for the dispatcher that admitted it.
	*/
	readonly by: object;
};

/**
Recent uses of a host.
*/
export type RecentUses = {
	readonly record: (use: AdmittedUse) => void;
	/**
	Returns all that other dispatchers admitted in the last window; undefined for one that was told within it, and on a host that has not run for so long: what its
	callers were admitted through other hosts before is unknown.
	*/
	readonly takeUntold: (dispatcher: object) => readonly allotments.PastUse[] | undefined;
};

type Slice = AdmittedUse & {
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
export function createRecentUses(now: () => number, windowMilliseconds: number): RecentUses {
	const startedAt = now();
	const sliceMilliseconds = windowMilliseconds / RECENT_USE_SLICES;
	/**
	In the order of their first times.
	*/
	const slices = new Map<string, Slice>();
	const numbers = new WeakMap<object, number>();
	const toldAt = new WeakMap<object, number>();
	let count = 0;

	const getNumber = (dispatcher: object) => {
		const known = numbers.get(dispatcher);
		if (known !== undefined) {
			return known;
		}

		count++;
		numbers.set(dispatcher, count);
		return count;
	};

	const forget = () => {
		for (const [key, {at}] of slices) {
			if (now() - at <= windowMilliseconds) {
				break;
			}

			slices.delete(key);
		}
	};

	return {
		record({service, organisation, by}) {
			forget();
			const number = Math.floor(now() / sliceMilliseconds);
			const key = `${number} ${getNumber(by)} ${service} ${organisation}`;
			const slice = slices.get(key) ?? {
				service, organisation, by, at: now(), requests: 0,
			};
			slice.at = now();
			slice.requests++;
			slices.set(key, slice);
		},
		takeUntold(dispatcher) {
			const since = Math.max(startedAt, toldAt.get(dispatcher) ?? -Infinity);
			toldAt.set(dispatcher, now());
			if (now() - since <= windowMilliseconds) {
				return undefined;
			}

			forget();
			return slices.values()
				.filter(({by}) => by !== dispatcher)
				.map(({service, organisation, requests, at}): allotments.PastUse => [service, organisation, requests, Math.round(now() - at)])
				.toArray();
		},
	};
}
