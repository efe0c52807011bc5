/**
Admission of requests: adaptive concurrency, rate, fair shares among organisations and a queue that knows deadlines.
*/
export type {
	Admission,
	AdmissionFailureKind,
	AdmissionLimits,
	AdmissionRequest,
	AdmissionStatus,
	Admittance,
	Refusal,
	Release,
	TicketChange,
} from './admittance.ts';
export {createAdmission} from './admission.ts';
export {type ConcurrencyLimit, createConcurrencyLimit, type Ending} from './concurrency-limit.ts';
export {createFairQueue, type FairQueue, type Ticket} from './fair-queue.ts';
export {createRateLimit, type RateLimit} from './rate-limit.ts';
