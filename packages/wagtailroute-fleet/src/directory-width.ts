/**
How many entry hosts of a failure domain callers are told of.

Few, so that the connections of these few to upstreams are used again and again. But enough that none of them is loaded beyond
a part of its processor and link: an upload of 360 KB takes 0.6 s of a link of 5 Mbit/s, and everything else on that host waits
behind it. What goes wrong with a fixed number: three small hosts a failure domain carry all requests of a large installation,
each answer takes over a second, and two thirds of all requests miss their deadline.
*/
import {
	ADDRESSES_LEAST,
	ADDRESSES_MOST,
	NARROWING_MILLISECONDS,
	TARGET_LOAD,
} from './constants.ts';

/**
The number of hosts told last, and when. Fractions matter: it narrows slowly.
*/
export type Width = {
	readonly hosts: number;
	readonly at: number;
};

/**
Returns the present width. It grows at once and narrows slowly. Nothing being known yet, all hosts are told of: what comes first may be the
whole load.

@param loads Part of what each host can do that is in use, 0 and up.
*/
export function adaptWidth(previous: Width | undefined, loads: readonly number[], now: number): Width {
	if (loads.length === 0) {
		// A look-up that comes before any entry host has joined says nothing of the load to come.
		return previous ?? {hosts: ADDRESSES_MOST, at: now};
	}

	const total = loads.reduce((sum, load) => sum + load, 0);
	const needed = Math.max(ADDRESSES_LEAST, total / TARGET_LOAD);
	const kept = previous === undefined ? loads.length : previous.hosts * (2 ** ((previous.at - now) / NARROWING_MILLISECONDS));
	return {hosts: Math.min(ADDRESSES_MOST, Math.max(needed, kept)), at: now};
}
