/**
Differences of entries from those in force. Defaults are filled in on both sides, so that stating a default is no difference.
*/
import type * as core from 'wagtailroute-core';
import type {Entry} from '../entry.ts';

/**
A difference of a file from what is in force. Printed as JSON, so its fields keep their names.

- `added`: the entry is not in force.
- `changed`: a field has another value; `before` or `after` is absent if the field isn't set there.
- `absent`: the entry is in force and not in the file. It stays in force: only `catalogue remove` removes entries.
*/
export type Difference =
	| {readonly change: 'added' | 'absent'; readonly entry: core.ServiceName}
	| {
		readonly change: 'changed';
		readonly entry: core.ServiceName;
		readonly field: string;
		readonly before?: unknown;
		readonly after?: unknown;
	};

/**
Lists the differences of an entry from the one in force.
*/
export function listDifferences(entry: Entry, inForce: Entry | undefined): readonly Difference[] {
	if (inForce === undefined) {
		return [{change: 'added', entry: entry.name}];
	}

	const before = new Map(listFields(inForce));
	const after = new Map(listFields(entry));
	const fields = [...new Set([...before.keys(), ...after.keys()])];
	return fields
		.filter(field => JSON.stringify(before.get(field)) !== JSON.stringify(after.get(field)))
		.map(field => ({
			change: 'changed', entry: entry.name, field, before: before.get(field), after: after.get(field),
		}));
}

/**
Lists the values of an entry with their paths. A list of plain values, such as the methods of a route, is one value.
*/
function listFields(value: unknown, path: readonly string[] = []): ReadonlyArray<readonly [string, unknown]> {
	return isNested(value)
		? Object.entries(value).flatMap(([name, part]) => listFields(part, [...path, name]))
		: [[path.join('.'), value]];
}

function isNested(value: unknown): value is object {
	return Array.isArray(value) ? value.some(item => typeof item === 'object') : typeof value === 'object' && value !== null;
}
