/**
The beliefs of a control host, that is its doubts about upstreams, stored on its disk.

Without the file, suspensions are lost when all processes are killed at once. If a third of the upstreams hangs then, the new processes send the
returning requests there too, and every slot is taken by a request that never ends: one failure that lasts through the restart does its damage twice.
*/
import type * as replication from 'wagtailroute-replication';
import type * as telemetry from 'wagtailroute-telemetry';
import * as zod from 'zod';
import {MAX_BELIEFS_AGE_MILLISECONDS} from './constants.ts';
import {createJsonFile} from './json-file.ts';
import type {Belief} from './messages.ts';

/**
The file of beliefs.
*/
export type BeliefStore = {
	/**
	Returns the beliefs that were saved last, with their age; none when they are too old, or there is no file that can be read.
	*/
	readonly load: () => Promise<{readonly beliefs: readonly Belief[]; readonly ageMilliseconds: number}>;
	/**
	Replaces the file. A failure is only logged.
	*/
	readonly save: (beliefs: readonly Belief[]) => Promise<void>;
};

const documentSchema = zod.object({
	/**
	Unix milliseconds. The time of day may have jumped since then, so it serves only to estimate the age of the beliefs.
	*/
	savedAt: zod.number(),
	beliefs: zod.array(zod.object({service: zod.string(), upstream: zod.string(), doubt: zod.number().min(0)})),
});

/**
Creates the store in a folder.

@param getTimeOfDay Returns Unix milliseconds.
*/
export function createBeliefStore(
	folder: string,
	log: telemetry.Log,
	{getTimeOfDay, disk}: {readonly getTimeOfDay: () => number; readonly disk?: replication.Disk},
): BeliefStore {
	const file = createJsonFile<zod.output<typeof documentSchema>>({
		folder, name: 'beliefs.json', schema: documentSchema, log, disk,
	});
	return {
		async load() {
			const document = await file.load();
			const age = document === undefined ? Infinity : getTimeOfDay() - document.savedAt;
			return age > MAX_BELIEFS_AGE_MILLISECONDS
				? {beliefs: [], ageMilliseconds: 0}
				: {beliefs: document!.beliefs, ageMilliseconds: Math.max(0, age)};
		},
		async save(beliefs) {
			await file.save({savedAt: getTimeOfDay(), beliefs: [...beliefs]});
		},
	};
}
