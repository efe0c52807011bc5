/**
Validates an entry in the form in which it would be sent, and reports all invalid fields instead of the first one only.
*/
import {checkEntry, type Entry, findSizeFailure} from '../entry.ts';
import {createFinding, type Finding} from './findings.ts';

/**
An entry that is about to be sent. `entry` is absent if the fleet would refuse it.
*/
export type Draft = {
	/**
	The name of the entry, or its position in the file if it has no name.
	*/
	readonly label: string;
	readonly entry?: Entry;
	readonly findings: readonly Finding[];
};

/**
Validates a body. `body` is well-formed JSON, `position` counts the entries of the file from 1.
*/
export function parseDraft(body: string, position: number): Draft {
	const value = JSON.parse(body) as unknown;
	const label = getName(value) ?? `#${position}`;
	const checked = checkEntry(value);
	const sizeFailure = findSizeFailure(body);
	const findings = [
		...sizeFailure === undefined ? [] : [createFinding(sizeFailure.kind, label, sizeFailure.message)],
		...checked.isOk() ? [] : checked.error.map(({path, message}) => createFinding('entry-invalid', label, message, path === '' ? undefined : path)),
	];
	return {label, findings, ...checked.isOk() && findings.length === 0 && {entry: checked.value}};
}

function getName(value: unknown): string | undefined {
	const name = typeof value === 'object' && value !== null && 'name' in value ? value.name : undefined;
	return typeof name === 'string' && name !== '' ? name : undefined;
}
