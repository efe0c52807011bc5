/**
Allotments of organisations over all dispatchers of a fleet.
*/
export type {Absence, Allotment} from './account.ts';
export {
	type Admission,
	type Allotments,
	type AllotmentSettings,
	createAllotments,
	type PastUse,
	type Use,
	type UseNews,
} from './allotments.ts';
export {createSenderClocks, type SenderClocks} from './sender-clocks.ts';
export {TELL_MILLISECONDS} from './constants.ts';
