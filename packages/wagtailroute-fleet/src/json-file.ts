/**
A document that a control host keeps on its disk for speed only: it may be lost, or out of date.

It is replaced as a whole, so that a stop in the midst of a write leaves the one before. While a write is under way no other begins, only the
last document follows: a slow disk delays what is kept, never a request. What cannot be read is passed over with a line in the log.
*/
import * as buffer from 'node:buffer';
import * as path from 'node:path';
import * as replication from 'wagtailroute-replication';
import * as results from 'ts-results-es';
import type * as zod from 'zod';
import type * as telemetry from 'wagtailroute-telemetry';

/**
Keeps a document.
*/
export type JsonFile<Document> = {
	/**
	Returns what was kept; undefined when there is nothing or it cannot be read.
	*/
	readonly load: () => Promise<Document | undefined>;
	/**
	Keeps a document in place of the one before. A failure is told to the log and changes nothing.
	*/
	readonly save: (document: Document) => Promise<void>;
};

/**
What a kept file is made from.
*/
export type JsonFileOptions<Document> = {
	readonly folder: string;
	readonly name: string;
	readonly schema: zod.ZodType<Document>;
	readonly log: telemetry.Log;
	readonly disk?: replication.Disk;
};

/**
Creates the file, with nothing kept.
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
			// A name that was changed is kept over a loss of power once its folder is.
			await disk.syncFolder(folder);
		});
		if (written.isErr()) {
			log.warn('File could not be kept.', {file: name, reason: String(written.error)});
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
				log.warn('Kept file could not be read.', {file: name, reason: String(read.error)});
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
