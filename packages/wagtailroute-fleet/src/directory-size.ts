/**
How many entry hosts of a failure domain the directory names.

A small number lets these hosts reuse their connections to upstreams. It must be large enough that each host's processor and link stay below
a target load: an upload of 360 KB takes 0.6 s of a link of 5 Mbit/s, and every other request on that host waits behind it. A fixed number fails:
three small hosts in each failure domain would handle all requests of a large installation, each answer would take over a second, and two thirds
of all requests would miss their deadline.
*/
import {
	MIN_DIRECTORY_ADDRESSES,
	MAX_DIRECTORY_ADDRESSES,
	DIRECTORY_HALF_LIFE_MILLISECONDS,
	TARGET_LOAD,
} from './constants.ts';

/**
The number of hosts at a monotonic time in milliseconds. It is fractional, since it shrinks slowly.
*/
export type DirectorySize = {
	readonly hosts: number;
	readonly at: number;
	/**
	Largest number of hosts that the failure domain has had.
	*/
	readonly members: number;
};

/**
Returns the present number of hosts. It grows at once and shrinks slowly. At first it is all hosts, since the first callers may bring the
whole load; hosts that join later are added, since a fleet that starts has only a few of its hosts at the first computation.

@param loads Load of each host, 0 and up.
*/
export function adaptDirectorySize(previous: DirectorySize | undefined, loads: readonly number[], now: number): DirectorySize {
	if (loads.length === 0) {
		// No entry host has joined yet, which says nothing of the load to come.
		return previous ?? {hosts: MAX_DIRECTORY_ADDRESSES, at: now, members: 0};
	}

	const total = loads.reduce((sum, load) => sum + load, 0);
	const needed = Math.max(MIN_DIRECTORY_ADDRESSES, total / TARGET_LOAD);
	const members = Math.max(loads.length, previous?.members ?? 0);
	const remaining = previous === undefined ? 0 : previous.hosts * (2 ** ((previous.at - now) / DIRECTORY_HALF_LIFE_MILLISECONDS));
	const joined = members - (previous?.members ?? 0);
	return {hosts: Math.min(MAX_DIRECTORY_ADDRESSES, Math.max(needed, remaining + joined)), at: now, members};
}
