/**
The report on service-level burn: objectives, error budgets, burn rates and alerts, from the merged counts of the fleet.
*/
import type * as core from 'wagtailroute-core';
import {
	type Alert,
	type BadCounts,
	type BurnRates,
	findAlerts,
} from './alerts.ts';
import * as constants from './constants.ts';
import {type LatencySummary, summarizeLatencies} from './latencies.ts';
import type {MergedService, Merging} from './summaries.ts';
import {
	type Counts,
	getCount,
	getTotal,
	type Objective,
	type Verdict,
	VERDICTS,
} from './verdicts.ts';

/**
`availability`: answered by a backend server, below 500. `latency`: of those, in time.
*/
export type ObjectiveName = 'availability' | 'latency';

/**
How one objective is kept.
*/
export type ObjectiveReport = {
	readonly objective: ObjectiveName;
	/**
	Share of good requests that is aimed at.
	*/
	readonly target: number;
	/**
	Requests that count, over the objective's window.
	*/
	readonly requests: number;
	readonly bad: number;
	/**
	Share of good requests over the objective's window; 1 without requests.
	*/
	readonly attained: number;
	/**
	Share of the error budget that is left; below 0 when more than all of it is spent.
	*/
	readonly budgetLeft: number;
	/**
	Burn rates: 1 spends exactly the whole budget over the objective's window.
	*/
	readonly burnRates: BurnRates;
	readonly alerts: readonly Alert[];
};

/**
One service.
*/
export type ServiceReport = {
	readonly service: core.ServiceName;
	readonly owner: string;
	readonly latencyMilliseconds: number;
	readonly windowDays: number;
	/**
	Days counted of the objective's window.
	*/
	readonly countedDays: number;
	readonly objectives: readonly ObjectiveReport[];
	/**
	Requests by verdict over the window that was asked for.
	*/
	readonly counts: Readonly<Record<Verdict, number>>;
	/**
	Milliseconds, over the last hour.
	*/
	readonly latencies: LatencySummary;
	/**
	Points over the window that was asked for, oldest first, in the order of `VERDICTS`.
	*/
	readonly series: readonly Counts[];
};

/**
How the services of the fleet spend their error budgets.
*/
export type BurnReport = {
	/**
	Host that wrote it.
	*/
	readonly host: core.HostId;
	/**
	The window that was asked for, in milliseconds.
	*/
	readonly windowMilliseconds: number;
	readonly hosts: {
		readonly answered: number;
		/**
		Hosts that gave no answer, and whose counts come from a copy up to its last five minutes.
		*/
		readonly copied: readonly core.HostId[];
		/**
		Hosts whose counts are missing.
		*/
		readonly missing: readonly core.HostId[];
	};
	readonly untracked: number;
	readonly services: readonly ServiceReport[];
};

/**
A service as the catalogue has it.
*/
export type ServiceEntry = {
	readonly name: core.ServiceName;
	readonly owner: string;
	readonly objective: Objective;
};

const BAD_VERDICTS: Readonly<Record<ObjectiveName, readonly Verdict[]>> = {
	availability: ['not-run', 'unknown', 'upstream-error'],
	latency: ['slow'],
};

const GOOD_VERDICTS: Readonly<Record<ObjectiveName, readonly Verdict[]>> = {
	availability: ['good', 'slow'],
	latency: ['good'],
};

const OBJECTIVES: readonly ObjectiveName[] = ['availability', 'latency'];

/**
Writes the report. Services without an entry (removed ones) are left out.
*/
export function createReport(
	head: Pick<BurnReport, 'host' | 'windowMilliseconds' | 'hosts'>,
	merged: ReturnType<Merging['read']>,
	entries: readonly ServiceEntry[],
): BurnReport {
	const counted = new Map(merged.services.map(service => [service.service, service]));
	const services = entries.flatMap(entry => {
		const service = counted.get(entry.name);
		return service === undefined ? [] : [createServiceReport(entry, service)];
	});
	return {...head, untracked: merged.untracked, services: services.toSorted(compareServices)};
}

/**
The service with the least budget left comes first.
*/
function compareServices(left: ServiceReport, right: ServiceReport): number {
	const difference = getLeastBudget(left) - getLeastBudget(right);
	return difference === 0 ? left.service.localeCompare(right.service) : difference;
}

function getLeastBudget({objectives}: ServiceReport): number {
	return Math.min(...objectives.map(({budgetLeft}) => budgetLeft));
}

function createServiceReport(entry: ServiceEntry, merged: MergedService): ServiceReport {
	const {latencyMilliseconds, windowDays} = entry.objective;
	const counts = Object.fromEntries(VERDICTS.map(verdict => [verdict, getCount(merged.asked, verdict)]));
	return {
		service: entry.name,
		owner: entry.owner,
		latencyMilliseconds,
		windowDays,
		countedDays: merged.countedMilliseconds / constants.DAY_MILLISECONDS,
		objectives: OBJECTIVES.map(name => createObjectiveReport(name, entry.objective, merged)),
		counts: counts as ServiceReport['counts'],
		latencies: summarizeLatencies(merged.latencies),
		series: merged.series,
	};
}

function createObjectiveReport(name: ObjectiveName, objective: Objective, merged: MergedService): ObjectiveReport {
	const budget = 1 - objective.availability;
	const {requests, bad, badShare} = judge(name, merged.budget);
	const windows = Object.entries(merged.windows).map(([window, counts]) => [window, judge(name, counts)] as const);
	const burnRates = Object.fromEntries(windows.map(([window, judged]) => [window, judged.badShare / budget])) as BurnRates;
	const badCounts = Object.fromEntries(windows.map(([window, judged]) => [window, judged.bad])) as BadCounts;
	return {
		objective: name,
		target: objective.availability,
		requests,
		bad,
		attained: 1 - badShare,
		budgetLeft: 1 - (badShare / budget),
		burnRates,
		alerts: findAlerts(burnRates, badCounts, objective.windowDays),
	};
}

/**
Returns how many requests count for an objective, and the share of bad ones among them; 0 without requests.
*/
export function judge(name: ObjectiveName, counts: Counts): {requests: number; bad: number; badShare: number} {
	const sum = (verdicts: readonly Verdict[]) => getTotal(verdicts.map(verdict => getCount(counts, verdict)));
	const bad = sum(BAD_VERDICTS[name]);
	const requests = bad + sum(GOOD_VERDICTS[name]);
	return {requests, bad, badShare: requests === 0 ? 0 : bad / requests};
}
