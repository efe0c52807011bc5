/**
The instances that a control host knows, kept on its disk.

What goes wrong without it: all hosts lose power at once, and when they are back nobody knows a single upstream until the next
heartbeats come, so that every request of these seconds is refused. What is read may be out of date: requests name the
instance that they are for, and an upstream that is another one refuses them.
*/
import type * as instances from 'wagtailroute-instances';
import type * as replication from 'wagtailroute-replication';
import * as zod from 'zod';
import type * as telemetry from 'wagtailroute-telemetry';
import {createJsonFile} from './json-file.ts';

const heartbeatsSchema = zod.array(zod.object({
	upstream: zod.string(),
	service: zod.string(),
	address: zod.object({ip: zod.string(), port: zod.int()}),
	failureDomain: zod.string(),
	slots: zod.int(),
	warmupMilliseconds: zod.number(),
	sequence: zod.number(),
}));

/**
Keeps instances.
*/
export type InstanceStore = {
	/**
	Returns what was kept; nothing when there is nothing or it cannot be read.
	*/
	readonly load: () => Promise<readonly instances.Heartbeat[]>;
	/**
	Keeps a list in place of the one before.
	*/
	readonly save: (heartbeats: readonly instances.Heartbeat[]) => Promise<void>;
};

/**
Creates the store in a folder.
*/
export function createInstanceStore(folder: string, log: telemetry.Log, disk?: replication.Disk): InstanceStore {
	const file = createJsonFile<readonly instances.Heartbeat[]>({
		folder, name: 'instances.json', schema: heartbeatsSchema, log, disk,
	});
	return {
		load: async () => await file.load() ?? [],
		save: file.save,
	};
}
