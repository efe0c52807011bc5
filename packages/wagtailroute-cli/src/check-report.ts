/**
Formats the report of a check of entries and names its failure.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import * as core from 'wagtailroute-core';
import * as failures from './failures.ts';

const ENTRY_CHANGES: Readonly<Record<Exclude<catalogue.Difference['change'], 'changed'>, string>> = {
	added: 'added',
	absent: 'absent from the file, stays in force',
};

/**
Formats a report as text: a line for each finding and difference, sorted by entry.
*/
export function formatCheckReport({findings, differences}: catalogue.CheckReport): string {
	const lines = [
		...findings.map(finding => ({entry: finding.entry, text: formatFinding(finding)})),
		...differences.map(difference => ({entry: difference.entry, text: formatDifference(difference)})),
	];
	return lines.length === 0
		? 'no findings'
		: lines
			.toSorted((left, right) => left.entry.localeCompare(right.entry))
			.map(({entry, text}) => failures.toSingleLine(`${entry}: ${text}`))
			.join('\n');
}

/**
Returns the failure of a check with findings, undefined if there are none. Its message counts them.
*/
export function findCheckFailure({findings}: catalogue.CheckReport): failures.CommandFailure | undefined {
	if (findings.length === 0) {
		return undefined;
	}

	const errors = findings.filter(({severity}) => severity === 'error').length;
	const counts = `errors: ${errors}, warnings: ${findings.length - errors}`;
	return core.createFailure(errors > 0 ? 'entries-refused' : 'entries-doubtful', `catalogue check: ${counts}`);
}

function formatFinding({severity, code, field, message}: catalogue.Finding): string {
	const location = field === undefined ? '' : ` ${field}`;
	return `${severity} ${code}${location}: ${message}`;
}

function formatDifference(difference: catalogue.Difference): string {
	return difference.change === 'changed'
		? `changed ${difference.field}: ${formatSide(difference.before)} -> ${formatSide(difference.after)}`
		: ENTRY_CHANGES[difference.change];
}

function formatSide(value: unknown): string {
	return value === undefined ? 'not set' : JSON.stringify(value);
}
