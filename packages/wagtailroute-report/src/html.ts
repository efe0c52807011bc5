/**
The report as one page that needs nothing beside itself: no script, no address to load from.
*/
import {formatLatency, formatPercent, formatRate} from './numbers.ts';
import type {BurnReport, ObjectiveReport, ServiceReport} from './report.ts';
import {formatSpan} from './spans.ts';
import {
	describeHosts,
	describeSpan,
	formatAlerts,
	getObjectiveTitle,
	VERDICT_TITLES,
} from './text.ts';
import type {Verdict} from './verdicts.ts';

/**
Services with plots: those with the least budget left, to bound the page and the time that drawing it takes from requests.
*/
const PLOTTED_SERVICES = 20;

/**
What a browser may load for the page: nothing. Names in the page come from whoever may write the catalogue; should one ever get
past the escapes, it still runs no script in the browser of an operator.
*/
const POLICY = 'default-src \'none\'; style-src \'unsafe-inline\'';

const STYLE = `
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto; max-width: 80rem; padding: 0 1rem; color: #1b1b1b; background: #ffffff; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.2rem; margin: 2.5rem 0 0.25rem; border-top: 1px solid #d0d0d0; padding-top: 1rem; }
p { margin: 0.25rem 0; } .scroll { overflow-x: auto; }
table { border-collapse: collapse; margin: 0.75rem 0; font-variant-numeric: tabular-nums; }
caption { text-align: left; font-weight: 600; padding-bottom: 0.25rem; }
th, td { padding: 0.25rem 1.5rem 0.25rem 0; text-align: right; border-bottom: 1px solid #e3e3e3; white-space: nowrap; }
th.text, td.text { text-align: left; } td { vertical-align: top; } th { font-weight: 600; }
.plots { display: flex; flex-wrap: wrap; gap: 1rem; } figure { margin: 0.75rem 0; max-width: 100%; }
figcaption { font-weight: 600; padding-bottom: 0.25rem; } figure svg { max-width: 100%; height: auto; }
.spent, .page { color: #b00020; font-weight: 600; } .ticket { color: #8a5200; font-weight: 600; }
`;

/**
Writes the report as a page. Each plot is some milliseconds of work without a break; `pause` comes after each, so that a host
that draws a page can answer requests in between.
*/
export async function formatHtml(report: BurnReport, pause: () => Promise<unknown>): Promise<string> {
	const sections: string[] = [];
	for (const [index, service] of report.services.entries()) {
		// eslint-disable-next-line no-await-in-loop -- One after the other, with pauses.
		const figures = index < PLOTTED_SERVICES ? await formatPlots(service, report, pause) : [];
		sections.push(formatService(service, report, figures));
	}

	const title = `Service-level burn over ${formatSpan(report.windowMilliseconds)}`;
	return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="${POLICY}">
<meta name="viewport" content="width=device-width">
<title>${title}</title>
<style>${STYLE}</style>
</head>
<body>
<h1>${title}</h1>
<p>Gathered by host ${escapeHtml(report.host)}. Services with the least budget left come first.</p>
<ul>${describeHosts(report).map(sentence => `<li>${escapeHtml(sentence)}</li>`).join('')}</ul>
${sections.length === 0 ? '<p>No requests were counted.</p>' : sections.join('\n')}
</body>
</html>
`;
}

async function formatPlots(
	service: ServiceReport,
	report: BurnReport,
	pause: () => Promise<unknown>,
): Promise<readonly string[]> {
	const plots = await import('./plots.ts');
	await pause();
	const point = formatSpan(plots.getPointMilliseconds(service, report));
	const burnRates = formatFigure(`Burn rate, a point each ${point}; dashed: spends exactly the budget`, plots.drawBurnRates(service, report));
	await pause();
	const spending = formatFigure(`Requests that spent the budget, a bar each ${point}`, plots.drawSpending(service, report));
	await pause();
	return [burnRates, spending];
}

function formatFigure(caption: string, svg: string): string {
	return `<figure><figcaption>${caption}</figcaption>${svg}</figure>`;
}

function formatService(service: ServiceReport, report: BurnReport, figures: readonly string[]): string {
	return `<section>
<h2>${escapeHtml(service.service)}</h2>
<p>Owner ${escapeHtml(service.owner)}; ${describeSpan(service)}.</p>
${formatObjectives(service)}
<div class="plots">${figures.join('')}</div>
${formatCounts(service, report)}
${formatLatencies(service)}
</section>`;
}

function formatObjectives(service: ServiceReport): string {
	const windows = ['5m', '1h', '6h', '3d'] as const;
	const titles = ['objective', 'target', 'attained', 'budget left', ...windows.map(window => `burn ${window}`), 'alerts'];
	const rows = service.objectives.map(objective => [
		escapeHtml(getObjectiveTitle(service, objective)),
		formatPercent(objective.target),
		formatPercent(objective.attained),
		formatBudget(objective),
		...windows.map(window => formatRate(objective.burnRates[window])),
		formatAlertLines(objective),
	]);
	return formatTable('Objectives', titles, rows);
}

function formatAlertLines({alerts}: ObjectiveReport): string {
	return alerts.length === 0
		? 'none'
		: alerts.map(alert => `<span class="${alert.severity}">${formatAlerts([alert])}</span>`).join('<br>');
}

function formatBudget({budgetLeft}: ObjectiveReport): string {
	const budget = formatPercent(budgetLeft, 1);
	return budgetLeft < 0 ? `<span class="spent">${budget}</span>` : budget;
}

function formatCounts({counts}: ServiceReport, report: BurnReport): string {
	const verdicts = Object.keys(VERDICT_TITLES) as Verdict[];
	const caption = `Requests over ${formatSpan(report.windowMilliseconds)}`;
	return formatTable(caption, Object.values(VERDICT_TITLES), [verdicts.map(verdict => formatCount(counts[verdict]))]);
}

function formatLatencies({latencies}: ServiceReport): string {
	const {
		count, p50, p90, p99, p999, max,
	} = latencies;
	const cells = [formatCount(count), ...[p50, p90, p99, p999, max].map(value => formatLatency(value))];
	return formatTable('Latency over 1h', ['answers', 'p50', 'p90', 'p99', 'p99.9', 'max'], [cells]);
}

function formatCount(count: number): string {
	return count.toLocaleString('en');
}

const TEXT_COLUMNS: ReadonlySet<string> = new Set(['objective', 'alerts']);

function formatTable(caption: string, titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const formatRow = (tag: 'th' | 'td', cells: readonly string[]) => {
		const written = cells.map((cell, index) => `<${tag}${TEXT_COLUMNS.has(titles[index]!) ? ' class="text"' : ''}>${cell}</${tag}>`);
		return `<tr>${written.join('')}</tr>`;
	};

	const body = rows.map(cells => formatRow('td', cells)).join('');
	return `<div class="scroll"><table><caption>${caption}</caption><thead>${formatRow('th', titles)}</thead><tbody>${body}</tbody></table></div>`;
}

const ESCAPES: ReadonlyMap<string, string> = new Map([
	['&', '&amp;'],
	['<', '&lt;'],
	['>', '&gt;'],
	['"', '&quot;'],
	['\'', '&#39;'],
]);

function escapeHtml(text: string): string {
	return Array.from(text, character => ESCAPES.get(character) ?? character).join('');
}
