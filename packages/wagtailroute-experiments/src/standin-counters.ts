/**
What stand-ins counted, and the faults they are told to show.
*/
import * as core from 'wagtailroute-core';
import type * as standin from 'wagtailroute-standin';
import * as undici from 'undici';

const REQUEST_MILLISECONDS = 5000;

/**
Reads the counts of one stand-in; it must listen.
*/
export async function readCounts(address: core.Address): Promise<standin.Counts> {
	const answer = await undici.request(`http://${core.formatAddress(address)}/.standin/counters`, {
		signal: AbortSignal.timeout(REQUEST_MILLISECONDS),
	});
	return await answer.body.json() as standin.Counts;
}

/**
Returns the number of runs by Idempotency-Key over all the stand-ins.
*/
export function countRunsByKey(counts: readonly standin.Counts[]): ReadonlyMap<string, number> {
	const runs = new Map<string, number>();
	for (const [key, count] of counts.flatMap(({runsByKey}) => Object.entries(runsByKey))) {
		runs.set(key, (runs.get(key) ?? 0) + count);
	}

	return runs;
}

/**
Replaces the faults that a stand-in shows; does nothing where it does not listen.
*/
export async function behave(address: core.Address, behaviours: readonly standin.BehaviourRequest[]): Promise<void> {
	try {
		const answer = await undici.request(`http://${core.formatAddress(address)}/.standin/behaviour`, {
			method: 'PUT',
			body: JSON.stringify(behaviours),
			signal: AbortSignal.timeout(REQUEST_MILLISECONDS),
		});
		await answer.body.dump();
	} catch {
		// It crashed or drains: it shows nothing anyway.
	}
}
