/**
Choice of an upstream for a request, among those that may receive requests.
*/
export {
	createSelector,
	type EndedRequest,
	type Selector,
} from './selector.ts';
export type {ChoiceContext} from './candidates.ts';
export type {EjectionState, RequestResult, Upstream} from './upstreams.ts';
export {type CarrierPosition, getOwnedSlots} from './shares.ts';
export {RAMP_MILLISECONDS, TRIAL_SHARE} from './constants.ts';
