/**
What is asked of a dispatcher, and what it answers.
*/
import type * as core from 'wagtailroute-core';

/**
Names one ask over the fleet.
*/
export type SlotRequestId = string;

/**
A host asks where to send a request.
*/
export type SlotRequest = {
	readonly id: SlotRequestId;
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly service: core.ServiceName;
	/**
	Who calls; absent where the catalogue has no organisations, or the route needs no key.
	*/
	readonly organisation?: core.Organisation;
	/**
	Name of the route: requests of one route take alike long.
	*/
	readonly route: string;
	readonly requestClass: core.RequestClass;
	/**
	Rank, 0 is the highest.
	*/
	readonly priority: number;
	/**
	Milliseconds until the deadline.
	*/
	readonly remainingMilliseconds: number;
	/**
	Latency objective of the route in milliseconds.
	*/
	readonly objectiveMilliseconds: number;
	/**
	Milliseconds that its caller has waited before, as far as the host knows: 0 for one that has just come.
	*/
	readonly waitedMilliseconds: number;
	/**
	Upstreams that are not to be chosen: they had the request already.
	*/
	readonly excluded: readonly core.UpstreamId[];
	/**
	Another upstream had the request before.
	*/
	readonly isResend: boolean;
	/**
	The request is under way at another upstream, whose answer is overdue: it moves only to a slot that nobody waits for.
	*/
	readonly isMove: boolean;
	/**
	Another dispatcher was asked for the same before, and has counted the request. Absent: none was.
	*/
	readonly isAgain?: boolean;
};

/**
Says whether nobody had the request before.
*/
export function isFirstAttempt({isResend, isMove}: SlotRequest): boolean {
	return !isResend && !isMove;
}

/**
Why an ask was refused. `allotment`: its organisation has used what it may.
*/
export type RefusalReason = 'no-upstream' | 'no-slot-in-time' | 'budget' | 'allotment';

/**
How a granted request ended, as evidence about its upstream. `refused`: no connection, nobody listens. `unreachable`: no
connection in time. `overdue`: it took so long that the request moved elsewhere. `reset`: the connection or the answer broke. `misdirected`: another instance has the address. `cancelled`:
says nothing. `unused`: the same, and nothing was sent, for the host had turned elsewhere when the place came.
*/
export type Ending =
	| 'success'
	| 'error'
	| 'reset'
	| 'refused'
	| 'unreachable'
	| 'timeout'
	| 'overdue'
	| 'shed'
	| 'misdirected'
	| 'cancelled'
	| 'unused';

/**
What a dispatcher asks to be done.
*/
export type Effect =
	| {
		readonly kind: 'grant';
		readonly request: SlotRequest;
		readonly upstream: core.UpstreamId;
		readonly address: core.Address;
		readonly isTrial: boolean;
	}
	| {
		readonly kind: 'refuse';
		readonly request: SlotRequest;
		readonly reason: RefusalReason;
		readonly retryAfterMilliseconds: number;
	}
	/**
	An upstream was suspended or readmitted.
	*/
	| {
		readonly kind: 'believe';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly doubt: number;
		readonly isSuspended: boolean;
		readonly cause: Ending;
	}
	/**
	An upstream asked a host to send nothing for a while.
	*/
	| {
		readonly kind: 'backoff';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly host: core.HostId;
		readonly milliseconds: number;
	}
	/**
	An upstream told a host that it leaves.
	*/
	| {
		readonly kind: 'draining';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly host: core.HostId;
	}
	/**
	The rate limit of an upstream is new, changed or, without a rate, lifted.
	*/
	| {
		readonly kind: 'rate-limit';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly ratePerSecond?: number;
		readonly ratePerSecondBefore?: number;
	};

/**
What an upstream advertised, as hosts report it to each other.
*/
export type UpstreamUpdate = RateLimitUpdate | BackoffUpdate | DrainingUpdate;

/**
The rate limit of an upstream.
*/
export type RateLimitUpdate = {
	readonly kind: 'rate-limit';
	readonly upstream: core.UpstreamId;
	/**
	Requests a second that it takes from all hosts together; null once the limit is lifted.
	*/
	readonly ratePerSecond: number | null;
	/**
	Milliseconds since an answer advertised it.
	*/
	readonly ageMilliseconds: number;
	/**
	Requests that the reporting dispatcher granted since its last report.
	*/
	readonly granted: number;
};

/**
A host that is to send nothing to an upstream for a while.
*/
export type BackoffUpdate = {
	readonly kind: 'backoff';
	readonly upstream: core.UpstreamId;
	readonly host: core.HostId;
	readonly remainingMilliseconds: number;
};

/**
An upstream that leaves, though its heartbeats may not tell.
*/
export type DrainingUpdate = {
	readonly kind: 'draining';
	readonly upstream: core.UpstreamId;
};

/**
A place that a host holds at an upstream, told when it turns to another dispatcher.
*/
export type HeldSlotReport = {
	readonly id: SlotRequestId;
	readonly host: core.HostId;
	readonly service: core.ServiceName;
	readonly route: string;
	readonly upstream: core.UpstreamId;
	/**
	Milliseconds since it was granted.
	*/
	readonly ageMilliseconds: number;
	/**
	Milliseconds until its deadline.
	*/
	readonly remainingMilliseconds: number;
};

/**
An upstream as its heartbeats tell.
*/
export type Candidate = {
	readonly upstream: core.UpstreamId;
	readonly address: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly slots: number;
	readonly isDraining: boolean;
	/**
	It was not heard for several heartbeats: no reason against it by itself, but none to try it again once it has failed.
	*/
	readonly isSilent: boolean;
	/**
	Monotonic time until which it is slow from its start.
	*/
	readonly warmAt: number;
};
