/**
Spans of time as operators write them.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as constants from './constants.ts';

/**
A span that can not be reported on.
*/
export type SpanFailure = core.Failure<'span-invalid'>;

const UNITS: Readonly<Record<string, number>> = {
	s: 1000,
	m: constants.MINUTE_MILLISECONDS,
	h: constants.HOUR_MILLISECONDS,
	d: constants.DAY_MILLISECONDS,
};

const PATTERN = /^(?<count>[1-9]\d{0,4})(?<unit>[dhms])$/v;

/**
Reads a span such as `5m`, `1h` or `3d` to milliseconds.
*/
export function parseSpan(text: string): results.Result<number, SpanFailure> {
	const {count, unit} = PATTERN.exec(text)?.groups ?? {};
	const milliseconds = Number(count) * (UNITS[unit ?? ''] ?? NaN);
	const isWithin = milliseconds >= constants.MINIMUM_WINDOW_MILLISECONDS
		&& milliseconds <= constants.MAXIMUM_WINDOW_DAYS * constants.DAY_MILLISECONDS;
	return isWithin
		? results.Ok(milliseconds)
		: results.Err(core.createFailure('span-invalid', `The window ${JSON.stringify(text)} is not a span from 5m to 90d.`));
}

/**
Writes a span in its largest whole unit.
*/
export function formatSpan(milliseconds: number): string {
	const unit = ['d', 'h', 'm'].find(name => milliseconds % UNITS[name]! === 0) ?? 's';
	return `${Math.round(milliseconds / UNITS[unit]!)}${unit}`;
}

/**
Writes a length of time in the largest unit that it has one of.
*/
export function formatLength(milliseconds: number): string {
	const unit = ['d', 'h', 'm'].find(name => milliseconds >= UNITS[name]!) ?? 's';
	return `${Number((milliseconds / UNITS[unit]!).toFixed(1))}${unit}`;
}

/**
Writes how long ago something was.
*/
export function formatAge(milliseconds: number): string {
	return milliseconds === 0 ? 'now' : `-${formatLength(milliseconds)}`;
}
