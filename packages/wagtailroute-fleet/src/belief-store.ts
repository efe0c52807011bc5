/**
What a control host holds against upstreams, kept on its disk.

What goes wrong without it: all processes are killed at once while a third of the upstreams hangs; the new ones know of none, send the whole
crowd that comes back there, and every slot is taken by a request that will never end. A bad spell that lasts through the restart would be
paid for twice.
*/
import type * as replication from 'wagtailroute-replication';
import type * as telemetry from 'wagtailroute-telemetry';
import * as zod from 'zod';
import {MAX_BELIEFS_AGE_MILLISECONDS} from './constants.ts';
import {createJsonFile} from './json-file.ts';
import type {Belief} from './messages.ts';

/**
Keeps beliefs.
*/
export type BeliefStore = {
	/**
	Returns what was kept, with how old it is. None when that is more than what a bad spell lasts.
	*/
	readonly load: () => Promise<{readonly beliefs: readonly Belief[]; readonly ageMilliseconds: number}>;
	readonly save: (beliefs: readonly Belief[]) => Promise<void>;
};

const documentSchema = zod.object({
	/**
	Unix milliseconds. The time of day may have jumped since: it only says whether the rest is of any use.
	*/
	savedAt: zod.number(),
	beliefs: zod.array(zod.object({service: zod.string(), upstream: zod.string(), doubt: zod.number().min(0)})),
});

/**
Creates the store in a folder.

@param getTimeOfDay Unix milliseconds.
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
