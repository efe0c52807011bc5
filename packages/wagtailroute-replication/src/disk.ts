/**
File operations of the durable store, as an interface so that tests can inject disk failures.
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
File operations; each rejects with the system's error.
*/
export type Disk = {
	/**
	Creates a folder and missing parents, and syncs its entry in the parent folder.
	*/
	readonly createFolder: (folder: string) => Promise<void>;
	/**
	Reads a file; undefined if it does not exist.
	*/
	readonly read: (file: string) => Promise<Buffer | undefined>;
	/**
	Opens a file for appending; `isNew` truncates it first.
	*/
	readonly open: (file: string, isNew: boolean) => Promise<DiskFile>;
	/**
	Truncates a file to a length and syncs it.
	*/
	readonly truncate: (file: string, length: number) => Promise<void>;
	readonly rename: (from: string, to: string) => Promise<void>;
	/**
	Makes files created or renamed in a folder durable.
	*/
	readonly syncFolder: (folder: string) => Promise<void>;
};

/**
Creates the implementation on this machine's file system.
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
