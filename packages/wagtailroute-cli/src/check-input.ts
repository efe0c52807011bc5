/**
Reads the files of a check: the entries that would be sent, and those in force as another command has printed them.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as zod from 'zod';
import * as entries from './entries.ts';
import * as failures from './failures.ts';

/**
The output of `catalogue list --format json`.
*/
const LISTING_SCHEMA = zod.object({entries: zod.array(zod.object({entry: zod.unknown()}))});

/**
Reads the bodies that `catalogue apply` would send for the entries of a file. Entries without a name, on which `apply` rejects the file,
are included.
*/
export async function readBodies(path: string): Promise<results.Result<readonly string[], failures.CommandFailure>> {
	const values = await readValues('FILE', path);
	// An alias of a YAML document may refer to the value that contains it, which JSON can't express.
	return values.andThen(list => results.Result.wrap(() => list.map(value => JSON.stringify(value)))
		.mapErr(error => createFileFailure(`FILE: ${JSON.stringify(path)} can't be sent as JSON: ${failures.describeError(error)}`)));
}

/**
Reads the entries in force from the output of `catalogue list --format json` or `catalogue show`.
*/
export async function readEntriesInForce(
	path: string,
	parseEntry: typeof catalogue.parseEntry,
): Promise<results.Result<readonly catalogue.Entry[], failures.CommandFailure>> {
	const values = await readValues('--against', path);
	return values.andThen(list => results.Result.all(list.flatMap(value => unwrapListing(value)).map(value => parseEntry(value)))
		.mapErr(({message}) => createFileFailure(`--against: ${JSON.stringify(path)} holds an entry that is not valid: ${failures.toSingleLine(message)}`)));
}

async function readValues(argument: string, path: string): Promise<results.Result<readonly unknown[], failures.CommandFailure>> {
	const values = await entries.readValues(argument, path);
	return values
		// A redirected command that failed leaves an empty file, against which every entry would count as added.
		.andThen(list => list.length === 0 ? entries.rejectFile(argument, path, 'a file with entries') : results.Ok(list))
		.mapErr(({message}) => createFileFailure(message));
}

/**
Creates the failure of a file. Its exit code differs from that of a bad setting, which is also that of a check with warnings only.
*/
export function createFileFailure(message: string): failures.CommandFailure {
	return core.createFailure('bad-file', message);
}

function unwrapListing(value: unknown): readonly unknown[] {
	const listing = LISTING_SCHEMA.safeParse(value);
	return listing.success ? listing.data.entries.map(({entry}) => entry) : [value];
}
