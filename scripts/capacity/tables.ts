/**
Tables of the page, and how figures are written in them.
*/
import {BUDGET} from './size.ts';

const NOT_MEASURED = 'not measured';
const DIGITS = 3;

/**
Writes a figure with three digits; undefined is told as not measured.
*/
export function write(value: number | undefined, unit = ''): string {
	if (value === undefined || !Number.isFinite(value)) {
		return NOT_MEASURED;
	}

	const rounded = Number(value.toPrecision(DIGITS));
	const space = unit === '' || unit === '%' ? '' : ' ';
	return `${rounded.toLocaleString('en', {maximumFractionDigits: 6})}${space}${unit}`;
}

/**
Writes bytes in the unit that fits.
*/
export function writeBytes(value: number | undefined, suffix = ''): string {
	const units = [['GB', 1e9], ['MB', 1e6], ['KB', 1e3]] as const;
	const unit = units.find(([, size]) => Math.abs(value ?? 0) >= size);
	return unit === undefined ? write(value, `bytes${suffix}`) : write(value! / unit[1], `${unit[0]}${suffix}`);
}

/**
Writes microseconds a second as a share of a core.
*/
export function writeCore(microseconds: number | undefined): string {
	return write(microseconds === undefined ? undefined : microseconds / 1e4, '%');
}

/**
Marks what is over its budget.
*/
export function mark(text: string, value: number | undefined, most: number): string {
	return value !== undefined && value > most ? `**${text}, over**` : text;
}

/**
Writes shares of the budget for control.
*/
export const inBudget = {
	bytes: (value: number | undefined) => mark(writeBytes(value, '/s'), value, BUDGET.bytesPerSecond),
	core: (microseconds: number | undefined) => mark(writeCore(microseconds), microseconds, BUDGET.core * 1e6),
	memory: (value: number | undefined) => mark(writeBytes(value), value, BUDGET.memoryBytes),
} as const;

/**
Writes a table.
*/
export function writeTable(heads: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [heads, heads.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`);
	return `${lines.join('\n')}\n`;
}
