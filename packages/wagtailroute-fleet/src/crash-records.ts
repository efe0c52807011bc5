/**
Crashes of upstreams by the requests that were in flight there, by fingerprint of the request.

A request that has crashed three upstreams since it last completed is quarantined: no host sends it any more. Merging records gives the same result in any order, so it makes no
difference which hosts hear of a crash first, and a host that has restarted takes the records over from any other.
*/
import type * as core from 'wagtailroute-core';
import * as utils from 'wagtailroute-utils';
import {
	CRASHES_TO_QUARANTINE,
	MAX_CRASH_RECORDS,
	QUARANTINE_MILLISECONDS,
	SUSPECT_EXPIRY_MILLISECONDS,
} from './constants.ts';

/**
What is known of one request, as hosts report it to each other. A message.
*/
export type CrashRecord = {
	readonly fingerprint: string;
	/**
	Upstreams that crashed with the request in flight, each with the milliseconds since then. Each start of a backend server counts as an upstream of its own.
	*/
	readonly crashes: ReadonlyArray<readonly [upstream: core.UpstreamId, ageMilliseconds: number]>;
	/**
	Milliseconds since the request last completed; absent if that is not known. Earlier crashes had another cause.
	*/
	readonly completedAgeMilliseconds?: number | undefined;
};

/**
Crash records by fingerprint.
*/
export type CrashRecords = {
	/**
	Merges a record with what is known. Returns the result if it has changed.
	*/
	readonly merge: (record: CrashRecord) => CrashRecord | undefined;
	readonly find: (fingerprint: string) => CrashRecord | undefined;
	readonly list: () => readonly CrashRecord[];
};

/**
Counts the crashes of a request since it last completed.
*/
export function countCrashes(record: CrashRecord | undefined): number {
	return record?.crashes.length ?? 0;
}

/**
Returns whether no host may send the request any more.
*/
export function isQuarantined(record: CrashRecord | undefined): boolean {
	return countCrashes(record) >= CRASHES_TO_QUARANTINE;
}

type Entry = {
	/**
	Monotonic times of the crashes, by upstream. More than lead to a quarantine are not kept.
	*/
	readonly crashedAt: ReadonlyMap<core.UpstreamId, number>;
	readonly completedAt: number;
};

const UNKNOWN: Entry = {crashedAt: new Map(), completedAt: -Infinity};

function getLastChange({crashedAt, completedAt}: Entry): number {
	return Math.max(completedAt, ...crashedAt.values());
}

function mergeEntries(known: Entry, added: Entry): Entry {
	const completedAt = Math.max(known.completedAt, added.completedAt);
	const crashes = [...added.crashedAt, ...known.crashedAt].filter(([, at]) => at > completedAt);
	const latest = [...new Map(crashes)].toSorted(([, left], [, right]) => right - left);
	return {crashedAt: new Map(latest.slice(0, CRASHES_TO_QUARANTINE)), completedAt};
}

function hasSameCrashes(left: Entry, right: Entry): boolean {
	return left.crashedAt.size === right.crashedAt.size && left.crashedAt.keys().every(upstream => right.crashedAt.has(upstream));
}

/**
Creates empty records.

@param now Monotonic time in milliseconds.
*/
export function createCrashRecords(now: () => number): CrashRecords {
	const entries = new Map<string, Entry>();

	const findEntry = (fingerprint: string): Entry => {
		const entry = entries.get(fingerprint) ?? UNKNOWN;
		const expiry = entry.crashedAt.size >= CRASHES_TO_QUARANTINE ? QUARANTINE_MILLISECONDS : SUSPECT_EXPIRY_MILLISECONDS;
		return now() - getLastChange(entry) > expiry ? UNKNOWN : entry;
	};

	const toRecord = (fingerprint: string, {crashedAt, completedAt}: Entry): CrashRecord => ({
		fingerprint,
		crashes: crashedAt.entries().map(([upstream, at]) => [upstream, Math.round(now() - at)] as const).toArray(),
		...completedAt > -Infinity && {completedAgeMilliseconds: Math.round(now() - completedAt)},
	});

	const find = (fingerprint: string) => {
		const entry = findEntry(fingerprint);
		return entry === UNKNOWN ? undefined : toRecord(fingerprint, entry);
	};

	return {
		merge({fingerprint, crashes, completedAgeMilliseconds = Infinity}) {
			const known = findEntry(fingerprint);
			const added: Entry = {
				crashedAt: new Map(crashes.map(([upstream, age]) => [upstream, now() - age])), completedAt: now() - completedAgeMilliseconds,
			};
			const merged = mergeEntries(known, added);
			utils.setBounded(entries, fingerprint, merged, MAX_CRASH_RECORDS);
			return hasSameCrashes(known, merged) ? undefined : toRecord(fingerprint, merged);
		},
		find,
		list: () => entries.keys().map(fingerprint => find(fingerprint)).filter(record => record !== undefined).toArray(),
	};
}
