/**
Ids of upstream instances: the name of the server, which stays the same across restarts, and the time at which the instance started.

A server may restart under the same name. If the name alone were the id, the first heartbeats of the new process would be ignored as
stale, because its sequence starts again; a retirement of the ended process would apply to the running one, and so would doubt about
it. With the start time in the id, all tables, messages and retirements distinguish the two processes.
*/
import type * as core from 'wagtailroute-core';

/**
One start of a server.
*/
export type ServerStart = {
	readonly server: string;
	/**
	Unix milliseconds of the start by the server's clock; 0 when the server does not report it. Only compared with other starts.
	*/
	readonly startedAt: number;
};

const SEPARATOR = '@';
/**
Base 36 shortens a start time of 13 digits to 8 characters: the id is sent with each grant.
*/
const RADIX = 36;
const START_PATTERN = /^[0-9a-z]{1,11}$/v;

/**
Returns the id of the instance that a start of a server created, e.g. `server@mip8q2o0`.
*/
export function createUpstreamId({server, startedAt}: ServerStart): core.UpstreamId {
	return `${server}${SEPARATOR}${startedAt.toString(RADIX)}`;
}

/**
Returns the server and the start time of an id. An id without a start time is the name of a server that reports none: its `startedAt` is 0.
*/
export function parseUpstreamId(upstream: core.UpstreamId): ServerStart {
	const separator = upstream.lastIndexOf(SEPARATOR);
	const start = upstream.slice(separator + 1);
	return separator > 0 && START_PATTERN.test(start)
		? {server: upstream.slice(0, separator), startedAt: Number.parseInt(start, RADIX)}
		: {server: upstream, startedAt: 0};
}
