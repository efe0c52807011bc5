/**
Formats the report of a check and names its failure.
*/
import type * as stream from 'node:stream';
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as failures from './failures.ts';

const ENTRY_CHANGES: Readonly<Record<Exclude<core.Difference['change'], 'changed'>, string>> = {
	added: 'added',
	absent: 'absent from the file, stays in force',
	removed: 'removed',
};

/**
Returns a report without findings as the output of a command. A report with findings is written to stdout, and its failure is returned.
*/
export function reportCheck(
	command: string,
	report: core.CheckReport,
	format: 'text' | 'json',
	stdout: stream.Writable,
): results.Result<string, failures.CommandFailure> {
	const text = format === 'json' ? JSON.stringify(report, undefined, 2) : formatCheckReport(report);
	const failure = findCheckFailure(command, report);
	if (failure === undefined) {
		return results.Ok(text);
	}

	stdout.write(`${text}\n`);
	return results.Err(failure);
}

/**
Formats a report as text: a line for each finding and difference, sorted by entry.
*/
function formatCheckReport({findings, differences}: core.CheckReport): string {
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
Returns the failure of a check with findings, undefined if there are none. Its message counts them after the name of the command.
*/
function findCheckFailure(command: string, {findings}: core.CheckReport): failures.CommandFailure | undefined {
	if (findings.length === 0) {
		return undefined;
	}

	const errors = findings.filter(({severity}) => severity === 'error').length;
	const counts = `errors: ${errors}, warnings: ${findings.length - errors}`;
	return core.createFailure(errors > 0 ? 'entries-refused' : 'entries-doubtful', `${command}: ${counts}`);
}

function formatFinding({severity, code, field, message}: core.Finding): string {
	const location = field === undefined ? '' : ` ${field}`;
	return `${severity} ${code}${location}: ${message}`;
}

function formatDifference(difference: core.Difference): string {
	return difference.change === 'changed'
		? `changed ${difference.field}: ${formatSide(difference.before)} -> ${formatSide(difference.after)}`
		: ENTRY_CHANGES[difference.change];
}

function formatSide(value: unknown): string {
	return value === undefined ? 'not set' : JSON.stringify(value);
}
