/**
Choice of an upstream for a request, among those that may take work.
*/
export {
	createSelector,
	type Ending,
	type Selector,
} from './selector.ts';
export type {ChoiceContext} from './candidates.ts';
export type {Admission, Result, Upstream} from './upstreams.ts';
export {type Carriers, getOwnedSlots} from './shares.ts';
export {RAMP_MILLISECONDS, TRIAL_SHARE} from './constants.ts';
