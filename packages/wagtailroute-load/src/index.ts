/**
Bounded, open-loop load on an address or a service, with a truth check: each answer its own and whole, and the runs counted
by stand-ins compared with the outcomes told.
*/
export {
	type LoadResult,
	type LoadSettings,
	type Progress,
	runLoad,
} from './load.ts';
export {type ShownFaults} from './standin-control.ts';
export {type LoadFailure, type LoadFailureKind} from './failures.ts';
export {
	DEFAULT_MIX,
	type Mix,
	type MixFault,
	type MixRequest,
	parseMix,
} from './mix.ts';
export {
	type Ending,
	type HistogramBar,
	type Latencies,
	type TallyRecord,
} from './tally.ts';
export {
	compareRuns,
	isTrue,
	type Told,
	type ToldRequest,
	type Truth,
} from './truth.ts';
export {formatProgress, formatResult} from './formats.ts';
