/**
Service-level burn: counts of one host, their copies, the merge over the fleet, and the report.
*/
export {type AllotmentWindow, createAllotmentWindows, formatAllotmentWindows} from './allotment-windows.ts';
export type {Alert, BurnRates} from './alerts.ts';
export {type BurnCounters, createBurnCounters} from './counters.ts';
export {type Copy, limitDays, type ServiceCopy} from './copies.ts';
export {BURN_WINDOWS, MIDDLE_WIDTH_MILLISECONDS as COPY_MILLISECONDS} from './constants.ts';
export {chooseHolders, type Holder} from './holders.ts';
export {formatHtml} from './html.ts';
export type {LatencySummary} from './latencies.ts';
export {
	type BurnReport,
	createReport,
	type ObjectiveReport,
	type ServiceEntry,
	type ServiceReport,
} from './report.ts';
export type {BucketRow} from './ring.ts';
export {formatSpan, parseSpan, type SpanFailure} from './spans.ts';
export {
	createMerging,
	type MergedService,
	type Merging,
	type ServiceSummary,
	type Summary,
} from './summaries.ts';
export {formatText} from './text.ts';
export {
	type Counts,
	getVerdict,
	type Objective,
	type RequestResult,
	type Verdict,
	VERDICTS,
} from './verdicts.ts';
