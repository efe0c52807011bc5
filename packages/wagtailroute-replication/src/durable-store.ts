/**
The store on disk: one file of records, of which the first holds a full state and the others the writes since then. A
snapshot starts a new file that replaces the old one by a rename: after a crash either one is in place, and restart time and
disk use stay proportional to the live state.
*/
import * as path from 'node:path';
import * as results from 'ts-results-es';
import * as core from 'wagtailroute-core';
import * as disks from './disk.ts';
import * as records from './records.ts';
import type * as replica from './replica.ts';
import * as stores from './store.ts';

const FILE_NAME = 'replica.records';
const NEW_FILE_NAME = 'replica.records.new';

type Loaded = results.Result<replica.DurableState | undefined, stores.StoreFailure>;
type Written = results.Result<void, stores.StoreFailure>;

type OpenFile = {
	file: disks.DiskFile | undefined;
	/**
	Checksum of the file's last record.
	*/
	checksum: number;
	state: replica.DurableState | undefined;
	failure: stores.StoreFailure | undefined;
};

/**
Creates a store. The folder must not be shared with another store.
*/
export function createDurableStore(folder: string, disk: disks.Disk = disks.createDisk()): stores.Store {
	const open: OpenFile = {
		file: undefined, checksum: 0, state: undefined, failure: undefined,
	};
	return {
		load: async () => load(open, folder, disk),
		create: async state => runUnlessFailed(open, async () => replaceFile(open, folder, disk, state)),
		write: async writes => runUnlessFailed(open, async () => appendRecord(open, folder, disk, writes)),
		async close() {
			const {file} = open;
			open.file = undefined;
			await file?.close();
		},
	};
}

/**
Runs a write unless an earlier one failed. Failures are permanent: after a failed sync the system may drop the dirty pages
and report the next sync as successful, so a retry could confirm data that is not on disk.
*/
async function runUnlessFailed(open: OpenFile, run: () => Promise<void>): Promise<Written> {
	if (open.failure !== undefined) {
		return results.Err(open.failure);
	}

	try {
		await run();
		return results.Ok(undefined);
	} catch (error) {
		open.failure = createFailure(error);
		return results.Err(open.failure);
	}
}

function createFailure(error: unknown): stores.StoreFailure {
	const {code, message} = error as NodeJS.ErrnoException;
	return core.createFailure('unusable', `The disk failed: ${code ?? message}.`);
}

async function load(open: OpenFile, folder: string, disk: disks.Disk): Promise<Loaded> {
	try {
		await disk.createFolder(folder);
		const file = path.join(folder, FILE_NAME);
		const bytes = await disk.read(file);
		if (bytes === undefined) {
			return results.Ok(undefined);
		}

		const read = records.parseRecords(bytes);
		// The first record can't be torn: the file was renamed only after it was synced.
		if (read.isCorrupt || read.values.length === 0) {
			return results.Err(core.createFailure('corrupt', `The record at byte ${read.length} of ${file} is damaged.`));
		}

		if (read.length < bytes.length) {
			await disk.truncate(file, read.length);
		}

		open.state = replay(read.values);
		open.checksum = read.checksum;
		open.file = await disk.open(file, false);
		return results.Ok(open.state);
	} catch (error) {
		return results.Err(createFailure(error));
	}
}

function replay(values: readonly unknown[]): replica.DurableState {
	const [first, ...batches] = values as [replica.DurableState, ...ReadonlyArray<readonly replica.Write[]>];
	let state = first;
	for (const write of batches.flat()) {
		state = stores.applyWrite(state, write);
	}

	return state;
}

/**
Appends writes as one record, so that a crash tears at most the last record of the file.
*/
async function appendRecord(open: OpenFile, folder: string, disk: disks.Disk, writes: readonly replica.Write[]): Promise<void> {
	let state = open.state!;
	for (const item of writes) {
		state = stores.applyWrite(state, item);
	}

	const hasSnapshot = writes.some(item => item.snapshot !== undefined);
	if (hasSnapshot) {
		await replaceFile(open, folder, disk, state);
		return;
	}

	const {bytes, checksum} = records.formatRecord(writes, open.checksum);
	await open.file!.append(bytes);
	await open.file!.sync();
	open.checksum = checksum;
	open.state = state;
}

async function replaceFile(open: OpenFile, folder: string, disk: disks.Disk, state: replica.DurableState): Promise<void> {
	const newFile = path.join(folder, NEW_FILE_NAME);
	const file = await disk.open(newFile, true);
	const {bytes, checksum} = records.formatRecord(state, 0);
	await file.append(bytes);
	await file.sync();
	await disk.rename(newFile, path.join(folder, FILE_NAME));
	await disk.syncFolder(folder);
	await open.file?.close();
	open.file = file;
	open.checksum = checksum;
	open.state = state;
}
