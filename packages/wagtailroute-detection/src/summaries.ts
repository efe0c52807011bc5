/**
Summaries that hosts exchange about the upstreams of a service. They contain only the upstreams that had traffic.
*/
import type * as core from 'wagtailroute-core';

/**
How a request failed at an upstream. `timeout` refers to the service's own deadline; the expiry of a shorter deadline of
the caller is recorded as `cancelled`, since it is no evidence about the upstream.
*/
export type FailureKind = 'connect' | 'reset' | 'status' | 'truncated' | 'timeout';

/**
Result of a request at an upstream. `shed` is a 503 with the outcome not-run: a healthy server's answer to overload.
*/
export type RequestResult = 'success' | FailureKind | 'shed' | 'cancelled';

/**
All failure kinds.
*/
export const FAILURE_KINDS: readonly FailureKind[] = ['connect', 'reset', 'status', 'truncated', 'timeout'];

/**
One host's requests at one upstream since the host's last summary of it.
*/
export type UpstreamSummary = {
	readonly id: core.UpstreamId;
	readonly successes: number;
	readonly failures: Readonly<Partial<Record<FailureKind, number>>>;
	readonly sheds: number;
	/**
	Sample counts by bucket: pairs of bucket and count, flattened. A request reported as overdue counts with its age.
	*/
	readonly latencies: readonly number[];
};

/**
One host's requests to a service since its last summary.
*/
export type Summary = {
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	Identifies one start of the host: sequence numbers begin anew with each.
	*/
	readonly epoch: number;
	/**
	Counts up from 1. A summary that arrives twice counts once.
	*/
	readonly sequence: number;
	readonly upstreams: readonly UpstreamSummary[];
};
