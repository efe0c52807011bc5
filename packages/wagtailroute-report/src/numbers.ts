/**
Numbers as the reports write them.
*/

const PERCENT = 100;

/**
Writes a share as a percentage.
*/
export function formatPercent(share: number, digits = 3): string {
	return `${(share * PERCENT).toFixed(digits)}%`;
}

/**
Writes a burn rate.
*/
export function formatRate(rate: number): string {
	return rate.toFixed(2);
}

/**
Writes milliseconds.
*/
export function formatLatency(milliseconds: number): string {
	return `${milliseconds < 10 ? milliseconds.toFixed(1) : Math.round(milliseconds)} ms`;
}
