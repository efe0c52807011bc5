/**
Input and output of a dispatcher: requests for slots, how granted requests ended, the decisions that follow, and what dispatchers report to each
other.

Types that are marked as messages are sent between hosts as they are: their fields are part of the wire protocol.
*/
import type * as core from 'wagtailroute-core';

/**
Unique in the fleet.
*/
export type SlotRequestId = string;

/**
Request of an entry host for a slot of any upstream of a service, for one request of a caller. On the wire it is called an ask (method `dispatch.ask`).
*/
export type SlotRequest = {
	readonly id: SlotRequestId;
	readonly host: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly service: core.ServiceName;
	/**
	Failure domain of the pool from which the slot is requested; absent for the undivided service.
	*/
	readonly pool?: core.FailureDomain;
	/**
	Caller's organisation; absent where the catalogue has no organisations or the route requires no API key.
	*/
	readonly organisation?: core.Organisation;
	/**
	Name of the route. Response times are averaged by route, since requests of one route take similar times.
	*/
	readonly route: string;
	readonly requestClass: core.RequestClass;
	/**
	Priority, 0 is the highest.
	*/
	readonly priority: number;
	/**
	Milliseconds until the deadline of the request.
	*/
	readonly remainingMilliseconds: number;
	/**
	Latency objective of the route in milliseconds.
	*/
	readonly objectiveMilliseconds: number;
	/**
	Milliseconds that the caller has waited in earlier attempts, as far as the entry host knows; 0 for a new request.
	*/
	readonly waitedMilliseconds: number;
	/**
	Upstreams that have received the request already and must not be chosen.
	*/
	readonly excluded: readonly core.UpstreamId[];
	/**
	Whether the request was sent to another upstream before, and this one is a resend.
	*/
	readonly isResend: boolean;
	/**
	Whether the request is in progress at another upstream whose answer is overdue. It is moved only to a slot that no queued request waits for.
	*/
	readonly isMove: boolean;
	/**
	Whether another dispatcher has received this slot request before and has counted it for its retry budget. Absent means false.
	*/
	readonly isAgain?: boolean;
	/**
	Milliseconds since the host last requested a slot for an organisation, from any dispatcher; absent without an organisation.
	*/
	readonly lentMilliseconds?: number;
	/**
	Whether the host lends its part of the bursts of allotments to this dispatcher; absent means false.
	*/
	readonly isBurstLent?: boolean;
};

/**
Returns whether no upstream has received the request yet.
*/
export function isFirstAttempt({isResend, isMove}: SlotRequest): boolean {
	return !isResend && !isMove;
}

/**
Why a slot request was refused. `no-upstream`: no upstream is usable. `no-slot-in-time`: none has a free slot before the objective or the deadline.
`budget`: the retry budget is used up. `allotment`: the organisation has used up its allotment.
*/
export type RefusalReason = 'no-upstream' | 'no-slot-in-time' | 'budget' | 'allotment';

/**
How a granted request ended, as evidence about its upstream. `refused`: connection refused. `unreachable`: connection timed out. `overdue`: the answer
took so long that the request was moved to another upstream. `reset`: the connection or the answer broke off. `misdirected`: another instance uses the
address. `cancelled`: no evidence. `unused`: no evidence, and nothing was sent, because the entry host had turned to another dispatcher before the
grant arrived.
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
The end of a granted request.
*/
export type Outcome = {
	readonly ending: Ending;
	/**
	From the send to the answer's header section.
	*/
	readonly milliseconds: number;
	/**
	Size of the response's body; absent where its entry host doesn't know it.
	*/
	readonly responseBytes?: number;
};

/**
Action that the caller of a dispatcher has to carry out. `grant` and `refuse` answer a slot request.
*/
export type Effect =
	| {
		readonly kind: 'grant';
		readonly request: SlotRequest;
		readonly upstream: core.UpstreamId;
		readonly address: core.Address;
		readonly isTrial: boolean;
		/**
		Whether the upstream is in another failure domain than the entry host.
		*/
		readonly isCrossing: boolean;
		/**
		Moving average of the route; 0 without measurements.
		*/
		readonly expectedResponseBytes: number;
	}
	| {
		readonly kind: 'refuse';
		readonly request: SlotRequest;
		readonly reason: RefusalReason;
		readonly retryAfterMilliseconds: number;
		/**
		Expected milliseconds until a slot; absent where requests are not ordered by cost, and where no slot is expected.
		*/
		readonly expectedWaitMilliseconds?: number;
		/**
		Whether the request was queued before, and more urgent ones or slower upstreams left no slot for it in time; absent means false.
		*/
		readonly isDisplaced?: boolean;
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
	An upstream asked an entry host to send no requests for some time.
	*/
	| {
		readonly kind: 'backoff';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly host: core.HostId;
		readonly milliseconds: number;
	}
	/**
	An answer to an entry host announced that the upstream is draining.
	*/
	| {
		readonly kind: 'draining';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly host: core.HostId;
	}
	/**
	The rate limit of an upstream is new or has changed; without `ratePerSecond` it was lifted.
	*/
	| {
		readonly kind: 'rate-limit';
		readonly service: core.ServiceName;
		readonly upstream: core.UpstreamId;
		readonly ratePerSecond?: number;
		readonly ratePerSecondBefore?: number;
	};

/**
What an upstream advertised in its answers, as hosts report it to each other. A message.
*/
export type UpstreamUpdate = RateLimitUpdate | BackoffUpdate | DrainingUpdate;

/**
Rate limit of an upstream.
*/
export type RateLimitUpdate = {
	readonly kind: 'rate-limit';
	readonly upstream: core.UpstreamId;
	/**
	Requests per second that the upstream accepts from all hosts together; null when the limit was lifted.
	*/
	readonly ratePerSecond: number | null;
	/**
	Milliseconds since an answer advertised the limit.
	*/
	readonly ageMilliseconds: number;
	/**
	Requests that the reporting dispatcher has granted since its last report.
	*/
	readonly granted: number;
};

/**
Entry host that must send no requests to an upstream for some time.
*/
export type BackoffUpdate = {
	readonly kind: 'backoff';
	readonly upstream: core.UpstreamId;
	readonly host: core.HostId;
	readonly remainingMilliseconds: number;
};

/**
Upstream that is draining, although its heartbeats may not say so.
*/
export type DrainingUpdate = {
	readonly kind: 'draining';
	readonly upstream: core.UpstreamId;
};

/**
Slot that an entry host holds, reported when the host turns to another dispatcher. A message; the field that lists them is named `places`.
*/
export type HeldSlotReport = {
	readonly id: SlotRequestId;
	readonly host: core.HostId;
	readonly service: core.ServiceName;
	readonly route: string;
	readonly upstream: core.UpstreamId;
	/**
	Milliseconds since the slot was granted.
	*/
	readonly ageMilliseconds: number;
	/**
	Milliseconds until the deadline of its request.
	*/
	readonly remainingMilliseconds: number;
};

/**
Upstream as its heartbeats describe it.
*/
export type Candidate = {
	readonly upstream: core.UpstreamId;
	readonly address: core.Address;
	readonly failureDomain: core.FailureDomain;
	readonly slots: number;
	readonly isDraining: boolean;
	/**
	Whether several heartbeats are missing. That alone is no reason to avoid the upstream, but a silent upstream gets no trial once it has failed.
	*/
	readonly isSilent: boolean;
	/**
	Monotonic time in milliseconds until which the upstream is warming up, and slow.
	*/
	readonly warmAt: number;
};
