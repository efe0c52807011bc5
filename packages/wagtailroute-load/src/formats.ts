/**
Writes the progress and the result of a run as text.
*/
import type * as load from './load.ts';
import type * as tallies from './tally.ts';
import * as truths from './truth.ts';

const BAR_WIDTH = 50;
const LABEL_WIDTH = 16;
const CELL_WIDTH = 11;

/**
Writes one line of progress.
*/
export function formatProgress(progress: load.Progress): string {
	const {record} = progress;
	const {latencies} = record;
	return [
		`${progress.seconds.toFixed(0)} s`,
		`sent ${progress.sent}`,
		`under way ${progress.underWay}`,
		`whole ${record.endings.whole}`,
		`p50 ${latencies.p50.toFixed(1)} ms`,
		`p99 ${latencies.p99.toFixed(1)} ms`,
		formatCounts(record.told),
	].join(', ');
}

/**
Writes the result: a table of latencies, a histogram, the counts and the truth check.
*/
export function formatResult(result: load.LoadResult): string {
	const {record, truth} = result;
	return [
		`${result.sent} requests sent in ${result.seconds.toFixed(1)} s, ${result.answersPerSecond.toFixed(0)} whole answers/s, ${result.notSent} not sent`,
		'',
		formatLatencies(record),
		'',
		'Whole answers by latency from the intended start',
		...formatHistogram(record.histogram),
		'',
		`attempts: ${formatCounts(record.endings)}`,
		`statuses: ${formatCounts(record.statuses)}`,
		`told: ${formatCounts(record.told)}`,
		`faults: ${formatCounts(result.faults)}`,
		...formatTruth(truth),
	].join('\n');
}

function formatLatencies(record: tallies.TallyRecord): string {
	const head = ['ms', 'count', 'mean', 'p50', 'p90', 'p99', 'p99.9', 'max'];
	const byClass = Object.entries(record.latenciesByClass);
	const rows: ReadonlyArray<readonly [string, tallies.Latencies]> = [
		['all', record.latencies],
		...byClass,
		['late sending', record.sendLag],
	];
	const lines = rows.map(([name, latencies]) => formatLine([name, String(latencies.count), ...formatNumbers(latencies)]));
	return [formatLine(head), ...lines].join('\n');
}

function formatNumbers(latencies: tallies.Latencies): string[] {
	const {mean, p50, p90, p99, p999, max} = latencies;
	return [mean, p50, p90, p99, p999, max].map(value => value.toFixed(2));
}

function formatLine(cells: readonly string[]): string {
	const [label, ...others] = cells;
	return label!.padEnd(LABEL_WIDTH) + others.map(cell => cell.padStart(CELL_WIDTH)).join('');
}

function formatHistogram(bars: readonly tallies.HistogramBar[]): string[] {
	const largest = Math.max(1, ...bars.map(({count}) => count));
	return bars.map(({uptoMilliseconds, count}) => {
		const bar = '#'.repeat(Math.ceil((count / largest) * BAR_WIDTH));
		return `${`<= ${uptoMilliseconds} ms`.padEnd(LABEL_WIDTH)}${String(count).padStart(CELL_WIDTH)} ${bar}`;
	});
}

function formatTruth(truth: truths.Truth): string[] {
	const runs = truth.isCompared
		? `told not-run but ran ${truth.toldNotRunButRan}, told ran but did not ${truth.toldRanButDidNot}, non-idempotent run more than once ${truth.ranMoreThanOnce}`
		: 'runs not compared (no stand-ins named, or not all counts read)';
	return [
		`truth: ${truths.isTrue(truth) ? 'nothing wrong' : 'WRONG'}: wrong answers ${truth.wrongAnswers}, ${runs}`,
		...truth.examples.map(example => `  ${example}`),
	];
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
	const parts = Object.entries(counts).filter(([, count]) => count > 0).map(([name, count]) => `${name} ${count}`);
	return parts.length === 0 ? 'none' : parts.join(', ');
}
