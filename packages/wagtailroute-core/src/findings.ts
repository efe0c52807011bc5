/**
Reports of checks that are made before a configuration is sent. An error is what the fleet would refuse; its code is that of the fleet's
failure. A warning is what the fleet would accept, although it can't have the effect that the configuration states.

The types are printed as JSON, so their fields keep their names.
*/

/**
How serious a finding is.
*/
export type Severity = 'error' | 'warning';

/**
A finding.
*/
export type Finding<Code extends string = string> = {
	readonly severity: Severity;
	readonly code: Code;
	/**
	The name of the entry; `#3` for the third entry of a file if it has no name.
	*/
	readonly entry: string;
	/**
	The path of the field, such as `routes.0.class`; absent if the finding is about the entry as a whole.
	*/
	readonly field?: string;
	readonly message: string;
};

/**
A difference of a file from what is in force.

- `added`: the entry is not in force.
- `changed`: a field has another value; `before` or `after` is absent if the field isn't set there.
- `absent`: the entry is in force and not in the file, and stays in force.
- `removed`: the entry is in force and not in the file, and leaves with the file's version.
*/
export type Difference =
	| {readonly change: 'added' | 'absent' | 'removed'; readonly entry: string}
	| {
		readonly change: 'changed';
		readonly entry: string;
		readonly field: string;
		readonly before?: unknown;
		readonly after?: unknown;
	};

/**
Findings and differences, each sorted by entry.
*/
export type CheckReport<Code extends string = string> = {
	readonly findings: ReadonlyArray<Finding<Code>>;
	readonly differences: readonly Difference[];
};

/**
Creates a finding with the severity of its code.
*/
export type FindingFactory<Code extends string> = (code: Code, entry: string, message: string, field?: string) => Finding<Code>;

/**
Creates the factory for the findings of a check.
*/
export function createFindingFactory<Code extends string>(severities: Readonly<Record<Code, Severity>>): FindingFactory<Code> {
	return (code, entry, message, field) => ({
		severity: severities[code], code, entry, ...field !== undefined && {field}, message,
	});
}

/**
Lists the fields of an entry that differ, with their paths. A list of plain values, such as the methods of a route, is one value.
*/
export function listChangedFields(entry: string, before: unknown, after: unknown): readonly Difference[] {
	const fieldsBefore = new Map(listFields(before));
	const fieldsAfter = new Map(listFields(after));
	return [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])]
		.filter(field => JSON.stringify(fieldsBefore.get(field)) !== JSON.stringify(fieldsAfter.get(field)))
		.map(field => ({
			change: 'changed', entry, field, before: fieldsBefore.get(field), after: fieldsAfter.get(field),
		}));
}

/**
Sorts findings or differences by entry. Those of one entry keep their order.
*/
export function sortByEntry<Item extends {readonly entry: string}>(items: readonly Item[]): readonly Item[] {
	return items.toSorted((left, right) => left.entry.localeCompare(right.entry));
}

function listFields(value: unknown, path: readonly string[] = []): ReadonlyArray<readonly [string, unknown]> {
	return isNested(value)
		? Object.entries(value).flatMap(([name, part]) => listFields(part, [...path, name]))
		: [[path.join('.'), value]];
}

function isNested(value: unknown): value is object {
	return Array.isArray(value) ? value.some(item => typeof item === 'object') : typeof value === 'object' && value !== null;
}
