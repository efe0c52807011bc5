/**
The report as text.
*/
import * as constants from './constants.ts';
import {formatLatency, formatPercent, formatRate} from './numbers.ts';
import type {BurnReport, ObjectiveReport, ServiceReport} from './report.ts';
import {formatLength, formatSpan} from './spans.ts';
import type {Verdict} from './verdicts.ts';

/**
Where the budget went: verdicts in the words of the report. The last two spend nobody's budget.
*/
export const VERDICT_TITLES: Readonly<Record<Verdict, string>> = {
	good: 'good',
	slow: 'slow',
	'not-run': 'fleet not-run',
	unknown: 'unknown',
	'upstream-error': 'upstream errors',
	'caller-error': 'caller errors (not counted)',
	cancelled: 'cancelled (not counted)',
};

/**
Writes the report for a terminal.
*/
export function formatText(report: BurnReport): string {
	const lines = [
		`Service-level burn over ${formatSpan(report.windowMilliseconds)}, as host ${report.host} gathered it`,
		...describeHosts(report),
		...report.services.flatMap(service => ['', ...formatService(service)]),
		...report.services.length === 0 ? ['', 'No requests were counted.'] : [],
	];
	return `${lines.join('\n')}\n`;
}

/**
Says whose counts are in the report, one sentence a line.
*/
export function describeHosts({hosts, untracked}: BurnReport): readonly string[] {
	const list = (names: readonly string[]) => names.join(', ');
	return [
		`Hosts that answered: ${hosts.answered}`,
		...hosts.copied.length > 0 ? [`Hosts counted from a copy, without their last minutes: ${list(hosts.copied)}`] : [],
		...hosts.missing.length > 0 ? [`Hosts that did not answer and are NOT counted: ${list(hosts.missing)}`] : [],
		...untracked > 0 ? [`Requests of services beyond a host's table, NOT counted: ${untracked}`] : [],
	];
}

function formatService(service: ServiceReport): readonly string[] {
	const {latencies} = service;
	return [
		`${service.service} (owner ${service.owner}), ${describeSpan(service)}`,
		`  ${'objective'.padEnd(28)}${['target', 'attained', 'budget left', 'burn 5m', '1h', '6h', '3d'].map(title => title.padStart(12)).join('')}  alerts`,
		...service.objectives.map(objective => formatObjective(service, objective)),
		`  requests: ${formatCounts(service)}`,
		`  latency over 1h: ${formatLatencies(latencies)}`,
	];
}

function formatLatencies({
	count, p50, p90, p99, p999, max,
}: ServiceReport['latencies']): string {
	const percentiles = Object.entries({
		p50, p90, p99, 'p99.9': p999, max,
	});
	return [`${count} answers`, ...percentiles.map(([name, value]) => `${name} ${formatLatency(value)}`)].join(', ');
}

function formatObjective(service: ServiceReport, objective: ObjectiveReport): string {
	const {burnRates, alerts} = objective;
	const title = getObjectiveTitle(service, objective);
	const cells = [
		formatPercent(objective.target),
		formatPercent(objective.attained),
		formatPercent(objective.budgetLeft, 1),
		...(['5m', '1h', '6h', '3d'] as const).map(window => formatRate(burnRates[window])),
	];
	return `  ${title.padEnd(28)}${cells.map(cell => cell.padStart(12)).join('')}  ${formatAlerts(alerts)}`;
}

/**
Says over what time the objectives hold, and how much of it has been counted.
*/
export function describeSpan({windowDays, countedDays}: ServiceReport): string {
	return `objective over ${windowDays}d, counted for ${formatLength(countedDays * constants.DAY_MILLISECONDS)}`;
}

/**
Names an objective.
*/
export function getObjectiveTitle(service: ServiceReport, {objective}: ObjectiveReport): string {
	return objective === 'latency' ? `latency <= ${formatLatency(service.latencyMilliseconds)}` : 'availability';
}

/**
Names the alerts that stand.
*/
export function formatAlerts(alerts: ObjectiveReport['alerts']): string {
	return alerts.length === 0 ? 'none' : alerts.map(({name, severity}) => `${name} (${severity})`).join(', ');
}

function formatCounts({counts}: ServiceReport): string {
	return Object.entries(VERDICT_TITLES).map(([verdict, title]) => `${title} ${counts[verdict as Verdict]}`).join(', ');
}
