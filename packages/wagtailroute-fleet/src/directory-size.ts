/**
How many entry hosts of a failure domain callers are told of.

Few, so that the connections of these few to upstreams are used again and again. But enough that none of them is loaded beyond
a part of its processor and link: an upload of 360 KB takes 0.6 s of a link of 5 Mbit/s, and everything else on that host waits
behind it. What goes wrong with a fixed number: three small hosts a failure domain carry all requests of a large installation,
each answer takes over a second, and two thirds of all requests miss their deadline.
*/
import {
	MIN_DIRECTORY_ADDRESSES,
	MAX_DIRECTORY_ADDRESSES,
	DIRECTORY_HALF_LIFE_MILLISECONDS,
	TARGET_LOAD,
} from './constants.ts';

/**
The number of hosts told last, and when. Fractions matter: it narrows slowly.
*/
export type DirectorySize = {
	readonly hosts: number;
	readonly at: number;
};

/**
Returns the present width. It grows at once and narrows slowly. Nothing being known yet, all hosts are told of: what comes first may be the
whole load.

@param loads Part of what each host can do that is in use, 0 and up.
*/
export function adaptDirectorySize(previous: DirectorySize | undefined, loads: readonly number[], now: number): DirectorySize {
	if (loads.length === 0) {
		// A look-up that comes before any entry host has joined says nothing of the load to come.
		return previous ?? {hosts: MAX_DIRECTORY_ADDRESSES, at: now};
	}

	const total = loads.reduce((sum, load) => sum + load, 0);
	const needed = Math.max(MIN_DIRECTORY_ADDRESSES, total / TARGET_LOAD);
	const remaining = previous === undefined ? loads.length : previous.hosts * (2 ** ((previous.at - now) / DIRECTORY_HALF_LIFE_MILLISECONDS));
	return {hosts: Math.min(MAX_DIRECTORY_ADDRESSES, Math.max(needed, remaining)), at: now};
}
