/**
Speaks to the stand-ins beside the load: shows faults on schedule and reads the counts at the end.
*/
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import type * as utils from 'wagtailroute-utils';
import * as zod from 'zod';
import * as constants from './constants.ts';
import type * as mixes from './mix.ts';

const COUNTS = zod.object({runsById: zod.record(zod.string(), zod.number()), uncounted: zod.number()});

const MILLISECONDS_PER_SECOND = 1000;

/**
How many changes of faults a stand-in took, and how many it did not.
*/
export type ShownFaults = {
	readonly shown: number;
	readonly failed: number;
};

/**
Faults under way. `end` drops those still to come, waits for those begun and says how they went.
*/
export type FaultSchedule = {
	readonly end: () => Promise<ShownFaults>;
};

/**
Shows the faults at their times from now.
*/
export function createFaultSchedule(
	faults: readonly mixes.MixFault[],
	standins: readonly core.Address[],
): FaultSchedule {
	const begun: Array<Promise<readonly boolean[]>> = [];
	const timers = faults.map(fault => setTimeout(() => {
		begun.push(showFault(fault, standins));
	}, fault.atSeconds * MILLISECONDS_PER_SECOND));
	return {
		async end() {
			for (const timer of timers) {
				clearTimeout(timer);
			}

			const ended = await Promise.all(begun);
			const taken = ended.flat();
			const shown = taken.filter(Boolean).length;
			return {shown, failed: taken.length - shown};
		},
	};
}

/**
Returns the number of runs by request id over all stand-ins; undefined when one didn't answer or didn't count all, for then
a missing run proves nothing.
*/
export async function readRuns(standins: readonly core.Address[]): Promise<ReadonlyMap<string, number> | undefined> {
	const total = new Map<string, number>();
	const counts = await Promise.all(standins.map(async address => readCounts(address)));
	for (const count of counts) {
		if (!count || count.uncounted > 0) {
			return undefined;
		}

		for (const [id, runs] of Object.entries(count.runsById)) {
			total.set(id, (total.get(id) ?? 0) + runs);
		}
	}

	return standins.length === 0 ? undefined : total;
}

async function readCounts(address: core.Address): Promise<zod.output<typeof COUNTS> | undefined> {
	try {
		const response = await undici.request(`http://${core.formatAddress(address)}/.standin/counters`, {
			signal: AbortSignal.timeout(constants.CONTROL_TIMEOUT_MILLISECONDS),
		});
		return COUNTS.parse(await response.body.json());
	} catch {
		return undefined;
	}
}

async function showFault(fault: mixes.MixFault, standins: readonly core.Address[]): Promise<readonly boolean[]> {
	const chosen = standins.filter((_address, index) => fault.standins?.includes(index) ?? true);
	return Promise.all(chosen.map(async address => putBehaviours(address, fault)));
}

async function putBehaviours(address: core.Address, fault: mixes.MixFault): Promise<boolean> {
	try {
		const response = await undici.request(`http://${core.formatAddress(address)}/.standin/behaviour`, {
			method: 'PUT',
			body: JSON.stringify(fault.behaviours),
			signal: AbortSignal.timeout(constants.CONTROL_TIMEOUT_MILLISECONDS),
		});
		await response.body.dump();
		return response.statusCode === 200;
	} catch {
		return false;
	}
}
