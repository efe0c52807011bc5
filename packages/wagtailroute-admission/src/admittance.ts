/**
Requests for admission and the answers to them.
*/
import type {Ending} from './concurrency-limit.ts';
import type {Ticket} from './fair-queue.ts';

/**
Limits in force on this host.
*/
export type AdmissionLimits = {
	/**
	Most requests in flight: the least of this host's share of the limit and of the slots of its upstreams.
	*/
	readonly concurrency: number;
	/**
	This host's part of the slots that upstreams announced: the adaptive limit starts there and not lower. Unknown when
	undefined.
	*/
	readonly slots?: number;
	/**
	This host's share of the rate limit; none when undefined.
	*/
	readonly ratePerSecond?: number;
	/**
	Most of the concurrency that one organisation may use, from 0 to 1; all of it when undefined.
	*/
	readonly perOrganisationShare?: number;
	/**
	Longest wait in the queue, in ms.
	*/
	readonly queueMilliseconds: number;
	/**
	Most requests waiting.
	*/
	readonly maxWaiting?: number;
};

/**
Why a request was refused. None was sent anywhere.
*/
export type AdmissionFailureKind = 'over-rate' | 'over-share' | 'queue-full' | 'queue-too-long' | 'deadline-before-send';

/**
A refusal, with the time after which a resend may be served.
*/
export type Refusal = {
	readonly kind: 'refused';
	readonly failure: AdmissionFailureKind;
	readonly retryAfterMilliseconds: number;
};

/**
Answer to a request. A queued one is told of later, by its ticket.
*/
export type Admittance = Refusal | {readonly kind: 'admitted'} | {readonly kind: 'queued'; readonly ticket: Ticket};

/**
What became of a waiting request.
*/
export type TicketChange = {
	readonly ticket: Ticket;
	readonly result: Refusal | {readonly kind: 'admitted'};
};

/**
A request that asks to start. Times are in ms of a monotonic clock.
*/
export type AdmissionRequest = {
	readonly organisation: string;
	readonly now: number;
	readonly deadline: number;
};

/**
A request that has ended.
*/
export type Release = {
	readonly organisation: string;
	readonly now: number;
	readonly latencyMilliseconds: number;
	readonly ending: Ending;
};

/**
What the admission of a service shows.
*/
export type AdmissionStatus = {
	readonly limit: number;
	readonly inFlight: number;
	readonly waiting: number;
	readonly activeOrganisations: number;
	readonly usualMilliseconds: number;
};

/**
Admission of one service. Every command that may start waiting requests returns what became of them.
*/
export type Admission = {
	/**
	May push out or start other waiting requests: the next release or tick tells.
	*/
	readonly request: (request: AdmissionRequest) => Admittance;
	readonly release: (release: Release) => readonly TicketChange[];
	/**
	Withdraws a waiting request; false when it no longer waits.
	*/
	readonly cancel: (ticket: Ticket) => boolean;
	/**
	To be called every 10 ms or so while anything waits.
	*/
	readonly tick: (now: number) => readonly TicketChange[];
	readonly setLimits: (limits: AdmissionLimits, now: number) => readonly TicketChange[];
	readonly getStatus: () => AdmissionStatus;
};
