/**
Results as one HTML page with plots, drawn as SVG: it needs nothing beside itself.
*/
import * as echarts from 'echarts';
import {type ComparedFigure, FIGURE_NAMES} from './comparison.ts';
import {formatEstimate} from './text.ts';
import type {Figures} from './tally.ts';

/**
A variant's days, compared with the first variant's.
*/
export type PlayedVariant = {
	readonly name: string;
	readonly figures: readonly Figures[];
	readonly compared: readonly ComparedFigure[];
};

const WIDTH = 900;
const HEIGHT = 320;
const PLOTTED = ['value', 'served', 'worstSeconds', 'unrepeatableIntoSpell'] as const satisfies ReadonlyArray<keyof Figures>;

/**
Writes the page.
*/
export function formatPage(title: string, variants: readonly PlayedVariant[]): string {
	const plots = PLOTTED.map(name => `<figure><figcaption>${name}, by variant: the days' mean and spread</figcaption>${drawSpread(name, variants)}</figure>`);
	const head = FIGURE_NAMES.map(name => `<th>${name}</th>`).join('');
	const rows = variants.map(({name, compared}) =>
		`<tr><th>${escapeHtml(name)}</th>${compared.map(({second}) => `<td>${formatEstimate(second)}</td>`).join('')}</tr>`);
	return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>body { font: 14px system-ui, sans-serif; margin: 2rem } td, th { padding: 0.2rem 0.8rem; text-align: right; white-space: nowrap } .scroll { overflow-x: auto }</style>
</head>
<body><h1>${escapeHtml(title)}</h1>
${plots.join('\n')}
<div class="scroll"><table><tr><th>variant</th>${head}</tr>${rows.join('\n')}</table></div>
</body></html>
`;
}

/**
Draws the quartiles and extremes of a figure over the days of each variant.
*/
function drawSpread(name: keyof Figures, variants: readonly PlayedVariant[]): string {
	const chart = echarts.init(null, null, {
		renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT,
	});
	chart.setOption({
		animation: false,
		grid: {left: 70, right: 20, bottom: 80},
		xAxis: {type: 'category', data: variants.map(variant => variant.name), axisLabel: {rotate: 30}},
		yAxis: {type: 'value', scale: true},
		series: [{type: 'boxplot', data: variants.map(({figures}) => getSpread(figures.map(figure => figure[name])))}],
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}

function getSpread(sample: readonly number[]): readonly number[] {
	const sorted = sample.toSorted((left, right) => left - right);
	return [0, 0.25, 0.5, 0.75, 1].map(part => sorted[Math.round(part * (sorted.length - 1))]!);
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
