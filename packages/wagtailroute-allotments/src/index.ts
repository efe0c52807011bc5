/**
Allotments of organisations over all dispatchers of a fleet.
*/
export type {Absence, Allotment} from './organisation-limiter.ts';
export {
	type Admission,
	type AllotmentLimiter,
	type AllotmentSettings,
	createAllotmentLimiter,
	type PastUsage,
	type Usage,
	type UsageReport,
} from './allotments.ts';
export {createSenderClocks, type SenderClocks} from './sender-clocks.ts';
export {REPORT_INTERVAL_MILLISECONDS} from './constants.ts';
