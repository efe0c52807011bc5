/**
Reads catalogue entries from a file of YAML documents or JSON. Only the name is validated here, the fleet validates the rest.
*/
import * as files from 'node:fs/promises';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as yaml from 'yaml';
import * as zod from 'zod';
import * as constants from './constants.ts';
import * as failures from './failures.ts';

/**
An entry of a file, of which only the name is validated.
*/
export type UncheckedEntry = {
	readonly name: string;
	readonly [field: string]: unknown;
};

const ENTRIES_SCHEMA = zod.array(zod.looseObject({name: zod.string().min(1)})).min(1);

/**
Reads the entries of a file: YAML documents, each an entry or a list of entries.
*/
export async function readEntries(path: string): Promise<results.Result<readonly UncheckedEntry[], failures.CommandFailure>> {
	try {
		const {size} = await files.stat(path);
		return size > constants.MAX_ENTRIES_FILE_BYTES ? rejectFile(path, `a file of at most ${constants.MAX_ENTRIES_FILE_BYTES} bytes`) : parseEntries(path, await files.readFile(path, 'utf8'));
	} catch (error) {
		return rejectFile(path, `a file that can be read (${failures.describeError(error)})`);
	}
}

/**
Parses the text of a file of entries. `path` appears in the failure only.
*/
export function parseEntries(path: string, text: string): results.Result<readonly UncheckedEntry[], failures.CommandFailure> {
	const documents = yaml.parseAllDocuments(text);
	const list = Array.isArray(documents) ? documents : [];
	const [problem] = list.flatMap(document => document.errors);
	if (problem) {
		return rejectFile(path, `YAML or JSON (${failures.toSingleLine(problem.message)})`);
	}

	const values = list.map(document => document.toJS() as unknown).filter(value => value !== null);
	const parsed = ENTRIES_SCHEMA.safeParse(values.flat());
	return parsed.success
		? results.Ok(parsed.data)
		: rejectFile(path, 'catalogue entries, each with a name');
}

function rejectFile(path: string, accepted: string): results.Err<failures.CommandFailure> {
	return results.Err(core.createFailure('bad-setting', `FILE: the value ${JSON.stringify(path)} is not accepted; accepted: ${accepted}`));
}
