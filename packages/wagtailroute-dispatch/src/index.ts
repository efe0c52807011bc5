/**
Slots of backend servers, given out one request at a time.
*/
export {isFirst} from './asks.ts';
export type {
	Ask,
	AskId,
	Candidate,
	Effect,
	Ending,
	HeldPlace,
	RateLimitUpdate,
	RefusalReason,
	UpstreamUpdate,
} from './asks.ts';
export {createDispatcher} from './dispatcher.ts';
export type {Dispatcher, DispatcherSettings, UpstreamReport} from './dispatcher-types.ts';
export type {BudgetSettings} from './budget.ts';
export {guessUsual, mixUsual} from './services.ts';
export {DEFAULT_POLICY, type Policy} from './policy.ts';
