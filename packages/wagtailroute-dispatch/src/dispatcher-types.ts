/**
Interface of a dispatcher: its settings, its methods and its reports.
*/
import type * as core from 'wagtailroute-core';
import type {
	Candidate,
	Effect,
	HeldSlotReport,
	Outcome,
	SlotRequest,
	SlotRequestId,
	UpstreamUpdate,
} from './slot-requests.ts';
import type {BudgetReport, BudgetSettings} from './budget.ts';
import type {IdleUpstream} from './idle-upstreams.ts';
import type {Policy} from './policy.ts';
import type {UpstreamCounts} from './upstream-index.ts';

/**
Settings of a dispatcher.
*/
export type DispatcherSettings = {
	readonly budget: BudgetSettings;
	/**
	Minimum fraction, 0 to 1, of a service's upstreams that are not suspended. Below it, suspended ones serve requests that would otherwise be refused.
	*/
	readonly floor: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	{@link DEFAULT_POLICY} when absent.
	*/
	readonly policy?: Policy;
	/**
	Returns the share of the fleet's requests of a service that this dispatcher handles, 0 to 1. Absent: all of them.
	*/
	readonly getShare?: (now: number, service: core.ServiceName) => number;
	/**
	Returns the share of a service's retry budget that this dispatcher grants, 0 to 1. Absent: all of it.
	*/
	readonly getBudgetShare?: (now: number, service: core.ServiceName) => number;
	/**
	Returns whether queued requests are ordered by what it costs callers to delay or refuse them. Absent: they keep the place that they got on arrival.
	*/
	readonly isOrderedByCost?: () => boolean;
};

/**
State of an upstream, for status pages and logs.
*/
export type UpstreamReport = {
	readonly upstream: core.UpstreamId;
	readonly failureDomain: core.FailureDomain;
	/**
	Number of slots that requests hold.
	*/
	readonly taken: number;
	readonly slots: number;
	readonly doubt: number;
	readonly isSuspended: boolean;
	readonly isDraining: boolean;
	/**
	Entry hosts that the upstream asked to send no requests for now.
	*/
	readonly hostsBackingOff: readonly core.HostId[];
	/**
	Requests per second that its answers advertise; absent without a limit.
	*/
	readonly rateLimit?: number;
};

/**
A dispatcher. `now` is always monotonic time in milliseconds. Effects have to be carried out in their order.
*/
export type Dispatcher = {
	/**
	Grants, queues or refuses a slot request. Without an effect that answers it, the request is queued. Other effects may answer queued requests.
	*/
	readonly requestSlot: (request: SlotRequest, now: number) => readonly Effect[];
	/**
	Records that a request of the service was refused before it reached this dispatcher's queue, because its organisation has used up its allotment.
	Its callers see a service that fails, so idle upstreams are tried sooner.
	*/
	readonly recordRefused: (service: core.ServiceName, now: number) => void;
	/**
	Removes a queued slot request and returns it; undefined when it is not in the queue.
	*/
	readonly cancel: (id: SlotRequestId, now: number) => SlotRequest | undefined;
	/**
	Returns the slot request for which a slot is held; undefined when this dispatcher has not granted it or it has ended.
	*/
	readonly findGrantedRequest: (id: SlotRequestId) => SlotRequest | undefined;
	/**
	Releases the slot of a granted request and applies its ending to the upstream.
	*/
	readonly end: (id: SlotRequestId, outcome: Outcome, now: number) => readonly Effect[];
	/**
	Records what the answer to a granted request advertised about its upstream.
	*/
	readonly recordAdvertisements: (id: SlotRequestId, advertisements: readonly core.Advertisement[], now: number) => readonly Effect[];
	/**
	Applies what another host reported from its answers.
	*/
	readonly applyUpdates: (service: core.ServiceName, updates: readonly UpstreamUpdate[], now: number) => readonly Effect[];
	/**
	Returns whether grants at the rate-limited upstreams of a service have to be reported to other dispatchers.
	*/
	readonly isSharingRateLimits: (service: core.ServiceName, now: number) => boolean;
	/**
	Returns the updates for other dispatchers since the last call, by service.
	*/
	readonly flushUpdates: (now: number) => ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]>;
	/**
	Returns everything that upstreams have advertised and that is in force, by service.
	*/
	readonly listUpdates: (now: number) => ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]>;
	/**
	Replaces the slots of a service that are recorded as held by an entry host with those that the host reports.
	*/
	readonly replaceHeldSlots: (host: core.HostId, service: core.ServiceName, reports: readonly HeldSlotReport[], now: number) => void;
	/**
	Replaces the upstreams of a service. One that is no longer listed counts as draining while requests hold its slots.
	*/
	readonly setCandidates: (service: core.ServiceName, candidates: readonly Candidate[], now: number) => readonly Effect[];
	/**
	Sets the doubt of an upstream to the value of another dispatcher.
	*/
	readonly setDoubt: (service: core.ServiceName, upstream: core.UpstreamId, doubt: number, now: number) => void;
	/**
	Raises the doubt of an upstream to what is left of a value that another dispatcher had some milliseconds ago, if that is higher.
	*/
	readonly raiseDoubt: (
		service: core.ServiceName,
		upstream: core.UpstreamId,
		reported: {readonly doubt: number; readonly ageMilliseconds: number},
		now: number,
	) => void;
	/**
	Has to be called regularly while the dispatcher is busy: grants due trials, refuses requests that can no longer be answered in time, and releases
	slots whose entry host did not report an ending.
	*/
	readonly tick: (now: number) => readonly Effect[];
	/**
	Returns the milliseconds for which a queued slot request is expected to wait, from its place in the queue; undefined when it is not queued.
	*/
	readonly estimateWait: (id: SlotRequestId, now: number) => number | undefined;
	/**
	Returns the number of queued slot requests.
	*/
	readonly countWaiting: () => number;
	/**
	Returns whether a request is queued or holds a slot.
	*/
	readonly isBusy: () => boolean;
	/**
	Returns whether any upstream of a service is known.
	*/
	readonly hasUpstreams: (service: core.ServiceName) => boolean;
	/**
	Returns the state of each upstream of a service.
	*/
	readonly report: (service: core.ServiceName, now: number) => readonly UpstreamReport[];
	/**
	Counts the upstreams of a service by state, and those from which an entry host backs off. The cost doesn't grow with the number of upstreams.
	*/
	readonly countUpstreams: (service: core.ServiceName, host: core.HostId, now: number) => UpstreamCounts & {readonly backingOff: number};
	/**
	Returns what is left of a service's retry budget at this dispatcher; undefined before its first request.
	*/
	readonly reportBudget: (service: core.ServiceName, now: number) => BudgetReport | undefined;
	/**
	Lists the upstreams of a service that get no requests although a noticeable fraction of its requests fails; none while nearly all succeed.
	*/
	readonly listIdleUpstreams: (service: core.ServiceName, now: number) => readonly IdleUpstream[];
};
