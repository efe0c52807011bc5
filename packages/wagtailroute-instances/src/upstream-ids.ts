/**
Names of instances: the name of the server, which outlives restarts, and the time of the start that the instance comes from.

A server may start again under the name that it had. Were the name alone used, the first heartbeats of the new process would be passed
over as late ones, since its sequence starts anew; a retirement of the process that ended would bind the one that runs, and doubts
about the former would fall on the latter. With the start in the name, all tables, messages and retirements tell them apart.
*/
import type * as core from 'wagtailroute-core';

/**
A server and one of its starts.
*/
export type ServerStart = {
	readonly server: string;
	/**
	Unix milliseconds of the start, by the server's clock; 0 when it was not told. Only compared with other starts.
	*/
	readonly startedAt: number;
};

const SEPARATOR = '@';
/**
Thirteen digits become eight: the name travels with each grant.
*/
const RADIX = 36;
const START_PATTERN = /^[0-9a-z]{1,11}$/v;

/**
Names the instance that a start of a server brought.
*/
export function createUpstreamId({server, startedAt}: ServerStart): core.UpstreamId {
	return `${server}${SEPARATOR}${startedAt.toString(RADIX)}`;
}

/**
Returns the server and the start that a name stands for. A name without a start is that of a server which has not told any.
*/
export function parseUpstreamId(upstream: core.UpstreamId): ServerStart {
	const separator = upstream.lastIndexOf(SEPARATOR);
	const start = upstream.slice(separator + 1);
	return separator > 0 && START_PATTERN.test(start)
		? {server: upstream.slice(0, separator), startedAt: Number.parseInt(start, RADIX)}
		: {server: upstream, startedAt: 0};
}
