/**
Experiments on real processes: hosts started, killed, wiped and stopped under load.
*/
export {
	createHostProcesses, type FleetPlan, type HostProcess, type ProcessPlan,
} from './processes.ts';
export {
	ask,
	type ChangeResult,
	type EntryDocument,
	getRevision,
	sendChange,
	waitForRevision,
} from './operators.ts';
export {runThinPath, type ThinPathResult} from './thin-path.ts';
