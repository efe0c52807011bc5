/**
Writes answers as text: single values as lines, lists of objects as tables.
*/
import * as yaml from 'yaml';

const COLUMN_GAP = '  ';

/**
Writes a value of JSON for people.
*/
export function formatValue(value: unknown): string {
	if (!isRecord(value)) {
		return Array.isArray(value) ? formatRows(value) : formatCell(value);
	}

	const lines = Object.entries(value).map(([name, part]) => formatPart(name, part));
	return lines.join('\n');
}

/**
Writes a value of JSON as YAML.
*/
export function formatYaml(value: unknown): string {
	return yaml.stringify(value).trimEnd();
}

/**
Writes rows as a table with a line of column names.
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
