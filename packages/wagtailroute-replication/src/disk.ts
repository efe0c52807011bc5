/**
The few file operations that the durable store needs, so that a test can put a faulty disk in their place.
*/
import type {Buffer} from 'node:buffer';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

/**
A file open for appending.
*/
export type DiskFile = {
	readonly append: (bytes: Buffer) => Promise<void>;
	readonly sync: () => Promise<void>;
	readonly close: () => Promise<void>;
};

/**
File operations; each rejects with the error of the system.
*/
export type Disk = {
	/**
	Makes the folder and its parents last.
	*/
	readonly createFolder: (folder: string) => Promise<void>;
	/**
	Reads a whole file; undefined if there is none.
	*/
	readonly read: (file: string) => Promise<Buffer | undefined>;
	/**
	Opens for appending; `isNew` empties it first.
	*/
	readonly open: (file: string, isNew: boolean) => Promise<DiskFile>;
	/**
	Cuts a file and syncs it.
	*/
	readonly truncate: (file: string, length: number) => Promise<void>;
	readonly rename: (from: string, to: string) => Promise<void>;
	/**
	Makes created and renamed files in a folder last.
	*/
	readonly syncFolder: (folder: string) => Promise<void>;
};

/**
Creates the disk of this machine.
*/
export function createDisk(): Disk {
	return {
		async createFolder(folder) {
			await fs.mkdir(folder, {recursive: true});
			await syncPath(path.dirname(path.resolve(folder)));
		},
		read: readIfPresent,
		async open(file, isNew) {
			const handle = await fs.open(file, isNew ? 'w' : 'a');
			return {
				append: async bytes => handle.appendFile(bytes),
				sync: async () => handle.datasync(),
				close: async () => handle.close(),
			};
		},
		async truncate(file, length) {
			const handle = await fs.open(file, 'r+');
			await handle.truncate(length);
			await handle.sync();
			await handle.close();
		},
		rename: async (from, to) => fs.rename(from, to),
		syncFolder: syncPath,
	};
}

async function syncPath(folder: string): Promise<void> {
	const handle = await fs.open(folder, 'r');
	await handle.sync();
	await handle.close();
}

async function readIfPresent(file: string): Promise<Buffer | undefined> {
	try {
		return await fs.readFile(file);
	} catch (error) {
		if ((error as NodeJS.ErrnoException).code === 'ENOENT') {
			return undefined;
		}

		throw error;
	}
}
