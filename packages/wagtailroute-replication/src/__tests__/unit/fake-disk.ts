/**
An in-memory disk that fails at a chosen operation and loses unsynced data on a crash.
*/
import {Buffer} from 'node:buffer';
import * as utils from 'wagtailroute-utils';
import type * as replication from '../../index.ts';

type File = {content: Buffer; synced: Buffer};

/**
Counts appends, syncs, renames and folder syncs. Operation number `failAt` fails with `code`; an append that fails has written
half of its bytes.
*/
export type FakeDisk = replication.Disk & {
	operations: number;
	failAt: number;
	code: string;
	readonly crash: (random: utils.Random) => void;
	readonly getFile: () => File;
};

/**
Creates an empty disk.
*/
export function createFakeDisk(): FakeDisk {
	let visible = new Map<string, File>();
	let durable = new Map<string, File>();
	const isFailing = () => {
		disk.operations++;
		return disk.operations === disk.failAt;
	};

	const fail = () => {
		throw Object.assign(new Error('fake'), {code: disk.code});
	};

	const operate = (run: () => void) => {
		if (isFailing()) {
			fail();
		}

		run();
	};

	const disk: FakeDisk = {
		operations: 0,
		failAt: Infinity,
		code: 'EIO',
		async createFolder() {
			// All paths share one folder.
		},
		read: async file => visible.get(file)?.content,
		async open(name, isNew) {
			const file = (isNew ? undefined : visible.get(name)) ?? {content: Buffer.alloc(0), synced: Buffer.alloc(0)};
			visible.set(name, file);
			return {
				async append(bytes) {
					const isTorn = isFailing();
					file.content = Buffer.concat([file.content, isTorn ? bytes.subarray(0, bytes.length / 2) : bytes]);
					if (isTorn) {
						fail();
					}
				},
				async sync() {
					operate(() => {
						file.synced = file.content;
					});
				},
				async close() {
					// Nothing to free.
				},
			};
		},
		async truncate(name, length) {
			const file = visible.get(name)!;
			file.content = file.content.subarray(0, length);
			file.synced = file.content;
		},
		async rename(from, to) {
			operate(() => {
				visible.set(to, visible.get(from)!);
				visible.delete(from);
			});
		},
		async syncFolder() {
			operate(() => {
				durable = new Map(visible);
			});
		},
		crash(random) {
			// An unsynced rename may or may not have reached the disk.
			visible = new Map(random() < 0.5 ? durable : visible);
			for (const file of visible.values()) {
				const reached = utils.pickIndex(random, file.content.length - file.synced.length + 1);
				const tail = Buffer.from(file.content.subarray(file.synced.length, file.synced.length + reached));
				// Blocks of the unsynced tail may not have been written.
				file.content = Buffer.concat([file.synced, random() < 0.5 ? tail : tail.fill(0, 0, Math.floor(tail.length / 2))]);
				file.synced = file.content;
			}

			durable = new Map(visible);
			disk.failAt = Infinity;
		},
		getFile: () => visible.get('folder/replica.records')!,
	};
	return disk;
}
