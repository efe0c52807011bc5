/**
What hosts tell each other about the upstreams of a service. JSON, with only the upstreams that had traffic.
*/
import type * as core from 'wagtailroute-core';

/**
How a request failed at an upstream. `timeout` is the service's own deadline; one that the caller chose too short is
recorded as `cancelled`, since it says nothing about the upstream.
*/
export type FailureKind = 'connect' | 'reset' | 'status' | 'truncated' | 'timeout';

/**
How a request ended at an upstream. `shed` is a 503 with the outcome not-run: a healthy server's answer to overload.
*/
export type RequestResult = 'success' | FailureKind | 'shed' | 'cancelled';

/**
All failure kinds.
*/
export const FAILURE_KINDS: readonly FailureKind[] = ['connect', 'reset', 'status', 'truncated', 'timeout'];

/**
What one host saw of one upstream since its last summary.
*/
export type UpstreamSummary = {
	readonly id: core.UpstreamId;
	readonly successes: number;
	readonly failures: Readonly<Partial<Record<FailureKind, number>>>;
	readonly sheds: number;
	/**
	Pairs of bucket and count, flattened.
	*/
	readonly latencies: readonly number[];
};

/**
What one host saw of a service since its last summary.
*/
export type Summary = {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	Tells apart lives of the host: sequence numbers start over in a new one.
	*/
	readonly epoch: number;
	/**
	Counts up from 1. A summary that comes twice is taken once.
	*/
	readonly sequence: number;
	readonly upstreams: readonly UpstreamSummary[];
};
