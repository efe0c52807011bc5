/**
The instances that a control host knows, kept on its disk.

What goes wrong without it: all hosts lose power at once, and when they are back nobody knows a single upstream until the next
heartbeats come, so that every request of these seconds is refused. What is read may be out of date: requests name the
instance that they are for, and an upstream that is another one refuses them.
*/
import * as buffer from 'node:buffer';
import * as path from 'node:path';
import type * as instances from 'wagtailroute-instances';
import * as replication from 'wagtailroute-replication';
import * as results from 'ts-results-es';
import * as zod from 'zod';
import type * as telemetry from 'wagtailroute-telemetry';

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
	Keeps a list in place of the one before. A failure is told to the log and changes nothing: the list is kept for speed only.
	*/
	readonly save: (heartbeats: readonly instances.Heartbeat[]) => Promise<void>;
};

const FILE_NAME = 'instances.json';
const NEW_FILE_NAME = 'instances.json.new';

/**
Creates the store in a folder.
*/
export function createInstanceStore(folder: string, log: telemetry.Log, disk: replication.Disk = replication.createDisk()): InstanceStore {
	const file = path.join(folder, FILE_NAME);
	const newFile = path.join(folder, NEW_FILE_NAME);
	return {
		async load() {
			const read = await results.Result.wrapAsync(async () => {
				await disk.createFolder(folder);
				const bytes = await disk.read(file);
				return bytes === undefined ? [] : heartbeatsSchema.parse(JSON.parse(bytes.toString()));
			});
			if (read.isErr()) {
				log.warn('Kept instances could not be read.', {reason: String(read.error)});
			}

			return read.unwrapOr([]);
		},
		async save(heartbeats) {
			const saved = await results.Result.wrapAsync(async () => {
				const opened = await disk.open(newFile, true);
				await opened.append(buffer.Buffer.from(JSON.stringify(heartbeats)));
				await opened.sync();
				await opened.close();
				await disk.rename(newFile, file);
			});
			if (saved.isErr()) {
				log.warn('Instances could not be kept.', {reason: String(saved.error)});
			}
		},
	};
}
