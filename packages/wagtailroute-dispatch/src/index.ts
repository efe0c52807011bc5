/**
Dispatcher: grants the slots of backend servers to requests, one at a time. Pure decision logic without input or output.
*/
export {isFirstAttempt} from './slot-requests.ts';
export type {
	Candidate,
	Effect,
	Ending,
	HeldSlotReport,
	Outcome,
	RateLimitUpdate,
	RefusalReason,
	SlotRequest,
	SlotRequestId,
	UpstreamUpdate,
} from './slot-requests.ts';
export {createDispatcher} from './dispatcher.ts';
export type {Dispatcher, DispatcherSettings, UpstreamReport} from './dispatcher-types.ts';
export type {IdleUpstream} from './idle-upstreams.ts';
export type {BudgetReport, BudgetSettings} from './budget.ts';
export {
	type AuditedTimes,
	type BudgetWindow,
	findWorstWindow,
	getExcess,
} from './budget-audit.ts';
export {averageResponseBytes} from './response-bytes.ts';
export {averageUsualMilliseconds, estimateUsualMilliseconds} from './services.ts';
export {DEFAULT_POLICY, type Policy} from './policy.ts';
