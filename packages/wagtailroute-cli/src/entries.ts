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
	const values = await readValues('FILE', path);
	return values.andThen(list => {
		const parsed = ENTRIES_SCHEMA.safeParse(list);
		return parsed.success ? results.Ok(parsed.data) : rejectFile('FILE', path, 'catalogue entries, each with a name');
	});
}

/**
Reads the values of a file: YAML documents, each a value or a list of values. `argument` appears in the failure only.
*/
export async function readValues(argument: string, path: string): Promise<results.Result<readonly unknown[], failures.CommandFailure>> {
	const text = await readText(argument, path, constants.MAX_ENTRIES_FILE_BYTES);
	return text.andThen(read => parseValues(argument, path, read));
}

/**
Reads the text of a file of limited size. `argument` appears in the failure only.
*/
export async function readText(argument: string, path: string, maxBytes: number): Promise<results.Result<string, failures.CommandFailure>> {
	try {
		const {size} = await files.stat(path);
		return size > maxBytes
			? rejectFile(argument, path, `a file of at most ${maxBytes} bytes`)
			: results.Ok(await files.readFile(path, 'utf8'));
	} catch (error) {
		return rejectFile(argument, path, `a file that can be read (${failures.describeError(error)})`);
	}
}

function parseValues(argument: string, path: string, text: string): results.Result<readonly unknown[], failures.CommandFailure> {
	const documents = yaml.parseAllDocuments(text);
	const list = Array.isArray(documents) ? documents : [];
	const [problem] = list.flatMap(document => document.errors);
	return problem
		? rejectFile(argument, path, `YAML or JSON (${failures.toSingleLine(problem.message)})`)
		: results.Ok(list.map(document => document.toJS() as unknown).filter(value => value !== null).flat());
}

/**
Creates the failure of a file that isn't accepted.
*/
export function rejectFile(argument: string, path: string, accepted: string): results.Err<failures.CommandFailure> {
	return results.Err(core.createFailure('bad-setting', `${argument}: the value ${JSON.stringify(path)} is not accepted; accepted: ${accepted}`));
}
