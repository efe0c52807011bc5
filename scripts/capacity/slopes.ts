/**
Slopes of measured rows, and what they say at another size.
*/

/**
A row of a bench.
*/
export type Row = Readonly<Record<string, string | number>>;

/**
A straight line through measured points.
*/
export type Line = {readonly slope: number; readonly start: number; readonly points: number};

/**
Least points of a slope that the page may use.
*/
export const LEAST_POINTS = 4;

/**
Fits a line by least squares; undefined when there are fewer points than `LEAST_POINTS`.
*/
export function fit(rows: readonly Row[] | undefined, x: string, y: string): Line | undefined {
	const points = (rows ?? [])
		.map(row => [row[x], row[y]])
		.filter((pair): pair is [number, number] => pair.every(value => typeof value === 'number' && Number.isFinite(value)));
	if (points.length < LEAST_POINTS) {
		return undefined;
	}

	const meanX = getMean(points.map(([left]) => left));
	const meanY = getMean(points.map(([, right]) => right));
	const spread = points.reduce((sum, [left]) => sum + ((left - meanX) ** 2), 0);
	const slope = points.reduce((sum, [left, right]) => sum + ((left - meanX) * (right - meanY)), 0) / spread;
	return {slope, start: meanY - (slope * meanX), points: points.length};
}

/**
Returns what the line gives at a size.
*/
export function at(line: Line | undefined, size: number): number | undefined {
	return line && line.start + (line.slope * size);
}

/**
Returns the microseconds that work takes, by the clock of this process.
*/
export function measureMicroseconds(work: () => void): number {
	const startedAt = performance.now();
	work();
	return (performance.now() - startedAt) * 1000;
}

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length;
}
