/**
Formats answers as text: one line for a single value, a table for a list of objects.
*/
import * as yaml from 'yaml';

const COLUMN_GAP = '  ';

/**
Formats a JSON value as text for people. Nested fields of the rows of a table are left out.
*/
export function formatValue(value: unknown): string {
	if (!isRecord(value)) {
		return Array.isArray(value) ? formatRows(value) : formatCell(value);
	}

	const lines = Object.entries(value).map(([name, part]) => formatPart(name, part));
	return lines.join('\n');
}

/**
Formats a JSON value as YAML without a trailing line break.
*/
export function formatYaml(value: unknown): string {
	return yaml.stringify(value).trimEnd();
}

/**
Formats rows as a table with padded columns, headed by the column names.
*/
export function formatTable(columns: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [columns, ...rows];
	const widths = columns.map((_column, index) => Math.max(...lines.map(line => (line[index] ?? '').length)));
	return lines
		.map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(COLUMN_GAP).trimEnd())
		.join('\n');
}

function formatPart(name: string, part: unknown): string {
	if (!Array.isArray(part)) {
		return `${name}: ${formatCell(part)}`;
	}

	return part.length === 0 ? `${name}: none` : formatRows(part);
}

function formatRows(values: readonly unknown[]): string {
	const rows = values.filter(value => isRecord(value));
	if (rows.length < values.length) {
		return values.map(value => formatCell(value)).join('\n');
	}

	const columns = [...new Set(rows.flatMap(row => Object.keys(row).filter(name => !isNested(row[name]))))];
	return formatTable(columns, rows.map(row => columns.map(name => formatCell(row[name]))));
}

function formatCell(value: unknown): string {
	if (value === undefined || value === null) {
		return '-';
	}

	if (Array.isArray(value) && !isNested(value)) {
		return value.join(',');
	}

	return typeof value === 'string' ? value : JSON.stringify(value);
}

function isNested(value: unknown): boolean {
	return isRecord(value) || (Array.isArray(value) && value.some(item => typeof item === 'object'));
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}
