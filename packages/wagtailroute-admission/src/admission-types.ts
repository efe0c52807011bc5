/**
Types of admission control: limits, requests, decisions and the controller.
*/
import type {RequestEnding} from './concurrency-limit.ts';
import type {Ticket} from './fair-queue.ts';

/**
Limits of a service on this host.
*/
export type AdmissionLimits = {
	/**
	Maximum requests in flight: the minimum of this host's share of the limit and the slots of the service's upstreams.
	*/
	readonly concurrency: number;
	/**
	This host's part of the slots that upstreams announced: initial value of the adaptive limit. Unknown when undefined.
	*/
	readonly slots?: number;
	/**
	This host's share of the rate limit; no limit when undefined.
	*/
	readonly ratePerSecond?: number;
	/**
	Maximum fraction of the concurrency that one organisation may use, from 0 to 1; 1 when undefined.
	*/
	readonly perOrganisationShare?: number;
	/**
	Maximum wait in the queue.
	*/
	readonly queueMilliseconds: number;
	/**
	Maximum number of waiting requests.
	*/
	readonly maxWaiting?: number;
};

/**
Why a request was refused. A refused request was not sent to any upstream.
*/
export type AdmissionFailureKind = 'over-rate' | 'over-share' | 'queue-full' | 'queue-too-long' | 'deadline-before-send';

/**
A refusal, with the time after which a retry may be served.
*/
export type Refusal = {
	readonly kind: 'refused';
	readonly failure: AdmissionFailureKind;
	readonly retryAfterMilliseconds: number;
};

/**
Decision on a request. The result of a queued request follows as a {@link TicketResolution} with its ticket.
*/
export type AdmissionDecision = Refusal | {readonly kind: 'admitted'} | {readonly kind: 'queued'; readonly ticket: Ticket};

/**
Result of a waiting request: admitted or refused.
*/
export type TicketResolution = {
	readonly ticket: Ticket;
	readonly result: Refusal | {readonly kind: 'admitted'};
};

/**
A request for admission. Times are in milliseconds of a monotonic clock.
*/
export type AdmissionRequest = {
	readonly organisation: string;
	readonly now: number;
	readonly deadline: number;
};

/**
The end of an admitted request.
*/
export type AdmissionRelease = {
	readonly organisation: string;
	readonly now: number;
	readonly latencyMilliseconds: number;
	readonly ending: RequestEnding;
};

/**
State of the admission control of a service, for metrics and estimates.
*/
export type AdmissionStatus = {
	readonly limit: number;
	readonly inFlight: number;
	readonly waiting: number;
	readonly activeOrganisations: number;
	readonly usualMilliseconds: number;
};

/**
Admission controller of one service. Operations that may start or refuse waiting requests return their results.
*/
export type AdmissionController = {
	/**
	May evict or start other waiting requests: the next `release` or `tick` returns their results.
	*/
	readonly request: (request: AdmissionRequest) => AdmissionDecision;
	readonly release: (release: AdmissionRelease) => readonly TicketResolution[];
	/**
	Removes a waiting request; returns false when it no longer waits.
	*/
	readonly cancel: (ticket: Ticket) => boolean;
	/**
	Must be called about every 10 ms while requests wait.
	*/
	readonly tick: (now: number) => readonly TicketResolution[];
	readonly setLimits: (limits: AdmissionLimits, now: number) => readonly TicketResolution[];
	readonly getStatus: () => AdmissionStatus;
};
