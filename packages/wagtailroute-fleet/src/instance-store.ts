/**
The instances that a control host knows, stored on its disk.

Without the file, no host knows any upstream after a power loss of all hosts until the next heartbeats arrive, and every request of these seconds is
refused. What is loaded may be outdated, which is safe: a request names the instance that it is for, and an upstream of another instance refuses it.
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
The file of instances.
*/
export type InstanceStore = {
	/**
	Returns the instances that were saved last; none when there is no file or it cannot be read.
	*/
	readonly load: () => Promise<readonly instances.Heartbeat[]>;
	/**
	Replaces the file. A failure is only logged.
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
