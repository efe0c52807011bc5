/**
A JSON document on the disk of a control host that only shortens a start: it may be lost or outdated.

The file is replaced as a whole, so that a process that ends during a write leaves the previous document. During a write, only the newest of the
documents to save is remembered and written next: a slow disk delays what is stored, never a request. A file that cannot be read is ignored and logged.
*/
import * as buffer from 'node:buffer';
import * as path from 'node:path';
import * as replication from 'wagtailroute-replication';
import * as results from 'ts-results-es';
import type * as zod from 'zod';
import type * as telemetry from 'wagtailroute-telemetry';

/**
The file of one document.
*/
export type JsonFile<Document> = {
	/**
	Returns the document; undefined when there is no file or it cannot be read.
	*/
	readonly load: () => Promise<Document | undefined>;
	/**
	Replaces the document. Resolves at once while another write runs. A failure is logged and changes nothing.
	*/
	readonly save: (document: Document) => Promise<void>;
};

/**
Where the file is, and what its document looks like.
*/
export type JsonFileOptions<Document> = {
	readonly folder: string;
	readonly name: string;
	readonly schema: zod.ZodType<Document>;
	readonly log: telemetry.Log;
	readonly disk?: replication.Disk;
};

/**
Creates the access to a file, which need not exist yet.
*/
export function createJsonFile<Document>(
	{folder, name, schema, log, disk = replication.createDisk()}: JsonFileOptions<Document>,
): JsonFile<Document> {
	const file = path.join(folder, name);
	const newFile = `${file}.new`;
	let isSaving = false;
	let next: Document | undefined;

	const write = async (document: Document) => {
		const written = await results.Result.wrapAsync(async () => {
			const opened = await disk.open(newFile, true);
			await opened.append(buffer.Buffer.from(JSON.stringify(document)));
			await opened.sync();
			await opened.close();
			await disk.rename(newFile, file);
			// A rename survives a power loss only once its folder is synced.
			await disk.syncFolder(folder);
		});
		if (written.isErr()) {
			log.warn('The file could not be saved.', {file: name, reason: String(written.error)});
		}
	};

	return {
		async load() {
			const read = await results.Result.wrapAsync(async () => {
				await disk.createFolder(folder);
				const bytes = await disk.read(file);
				return bytes === undefined ? undefined : schema.parse(JSON.parse(bytes.toString()));
			});
			if (read.isErr()) {
				log.warn('The file could not be read.', {file: name, reason: String(read.error)});
			}

			return read.unwrapOr(undefined);
		},
		async save(document) {
			next = document;
			if (isSaving) {
				return;
			}

			isSaving = true;
			while (next !== undefined) {
				const last = next;
				next = undefined;
				// eslint-disable-next-line no-await-in-loop -- One write at a time.
				await write(last);
			}

			isSaving = false;
		},
	};
}
