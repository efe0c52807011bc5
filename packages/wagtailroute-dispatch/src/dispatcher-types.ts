/**
A dispatcher as its host sees it: what it is started with, what it is asked and told, what it reports.
*/
import type * as core from 'wagtailroute-core';
import type {
	SlotRequest,
	SlotRequestId,
	Candidate,
	Effect,
	Ending,
	HeldSlotReport,
	UpstreamUpdate,
} from './slot-requests.ts';
import type {BudgetSettings} from './budget.ts';
import type {IdleUpstream} from './idle-upstreams.ts';
import type {Policy} from './policy.ts';

/**
Settings of a dispatcher.
*/
export type DispatcherSettings = {
	readonly budget: BudgetSettings;
	/**
	Part of a service's upstreams, 0 to 1, that stay in use whatever speaks against them.
	*/
	readonly floor: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
	/**
	The default policy when absent.
	*/
	readonly policy?: Policy;
	/**
	Returns the share of the fleet's requests that this dispatcher handles, 0 to 1. Absent: all of them.
	*/
	readonly getShare?: (now: number) => number;
};

/**
What a dispatcher knows of an upstream, for reports.
*/
export type UpstreamReport = {
	readonly upstream: core.UpstreamId;
	readonly failureDomain: core.FailureDomain;
	readonly taken: number;
	readonly slots: number;
	readonly doubt: number;
	readonly isSuspended: boolean;
	readonly isDraining: boolean;
	/**
	Hosts that it asked to send nothing for now.
	*/
	readonly hostsBackingOff: readonly core.HostId[];
	/**
	Requests a second that its answers advertise; absent when they advertise no limit.
	*/
	readonly rateLimit?: number;
};

/**
A dispatcher. Every method takes the monotonic time in milliseconds and returns what is to be done, in order.
*/
export type Dispatcher = {
	readonly requestSlot: (request: SlotRequest, now: number) => readonly Effect[];
	/**
	Withdraws an ask and returns it, if it waits.
	*/
	readonly cancel: (id: SlotRequestId) => SlotRequest | undefined;
	/**
	Returns the ask to which a place was granted, if it is held here.
	*/
	readonly findGrantedRequest: (id: SlotRequestId) => SlotRequest | undefined;
	/**
	A granted request has ended.

	@param milliseconds From the send to the answer's header section.
	*/
	readonly end: (id: SlotRequestId, outcome: {readonly ending: Ending; readonly milliseconds: number}, now: number) => readonly Effect[];
	/**
	The answer to a granted request advertises something about its upstream.
	*/
	readonly recordAdvertisements: (id: SlotRequestId, advertisements: readonly core.Advertisement[], now: number) => readonly Effect[];
	/**
	Applies what another host has learned from answers.
	*/
	readonly applyUpdates: (service: core.ServiceName, updates: readonly UpstreamUpdate[], now: number) => readonly Effect[];
	/**
	Says whether grants at the rate-limited upstreams of a service have to be reported to other dispatchers.
	*/
	readonly isSharingRateLimits: (service: core.ServiceName, now: number) => boolean;
	/**
	Returns the updates for other dispatchers since the last call, by service.
	*/
	readonly flushUpdates: (now: number) => ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]>;
	/**
	Returns all that upstreams advertise and that is in force, by service.
	*/
	readonly listUpdates: (now: number) => ReadonlyMap<core.ServiceName, readonly UpstreamUpdate[]>;
	/**
	A host tells the places that it holds of a service; what was counted for it before is forgotten.
	*/
	readonly replaceHeldSlots: (host: core.HostId, service: core.ServiceName, held: readonly HeldSlotReport[], now: number) => void;
	readonly setCandidates: (service: core.ServiceName, candidates: readonly Candidate[], now: number) => readonly Effect[];
	/**
	Takes another dispatcher's belief.
	*/
	readonly setDoubt: (service: core.ServiceName, upstream: core.UpstreamId, doubt: number, now: number) => void;
	/**
	Takes what another dispatcher held against an upstream some milliseconds ago, if more is left of it than what this one holds.
	*/
	readonly raiseDoubt: (
		service: core.ServiceName,
		upstream: core.UpstreamId,
		told: {readonly doubt: number; readonly ageMilliseconds: number},
		now: number,
	) => void;
	/**
	Looks for asks that can no longer be served, trials that are due and places that were abandoned.
	*/
	readonly tick: (now: number) => readonly Effect[];
	readonly countWaiting: () => number;
	/**
	Says whether a request waits or holds a place.
	*/
	readonly isBusy: () => boolean;
	/**
	Says whether it knows any upstream of a service.
	*/
	readonly hasUpstreams: (service: core.ServiceName) => boolean;
	readonly report: (service: core.ServiceName, now: number) => readonly UpstreamReport[];
	/**
	Lists the upstreams of a service that get nothing although a part of its requests is not served; none while nearly all are.
	*/
	readonly listIdleUpstreams: (service: core.ServiceName, now: number) => readonly IdleUpstream[];
};
