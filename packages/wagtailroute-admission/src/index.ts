/**
Admission control: adaptive concurrency limit, rate limit, and a queue that is fair to organisations and checks deadlines.
*/
export type {
	AdmissionController,
	AdmissionFailureKind,
	AdmissionLimits,
	AdmissionRequest,
	AdmissionStatus,
	AdmissionDecision,
	Refusal,
	AdmissionRelease,
	TicketResolution,
} from './admission-types.ts';
export {createAdmissionController} from './admission-controller.ts';
export {type ConcurrencyLimit, createConcurrencyLimit, type RequestEnding} from './concurrency-limit.ts';
export {createFairQueue, type FairQueue, type Ticket} from './fair-queue.ts';
export {createRateLimit, type RateLimit} from './rate-limit.ts';
