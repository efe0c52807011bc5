/**
Plots of the report, drawn by ECharts to SVG without a browser. Loaded only when a page is asked for: a host that only counts
does not pay for the library.

It is the library's own build in one file, and not its modules: in the binary those cost a host that never makes a page more
memory. The design note has the figures.
*/
import echarts from 'echarts/dist/echarts.common.min';
import * as constants from './constants.ts';
import {type BurnReport, judge, type ServiceReport} from './report.ts';
import {formatAge} from './spans.ts';
import {VERDICT_TITLES} from './text.ts';
import {getCount, type Verdict} from './verdicts.ts';

/**
Pixels.
*/
const WIDTH = 540;

/**
Pixels.
*/
const HEIGHT = 230;

/**
Pixels.
*/
const FONT_SIZE = 13;

/**
Labels on the axis of time at most.
*/
const MAXIMUM_LABELS = 7;

/**
Ages that are labelled, as a distance in milliseconds: round ones, so that the labels are short.
*/
const LABEL_STEPS = [
	...[1, 2, 5, 10, 15, 30].map(minutes => minutes * constants.MINUTE_MILLISECONDS),
	...[1, 2, 6, 12].map(hours => hours * constants.HOUR_MILLISECONDS),
	...[1, 2, 7, 15, 30].map(days => days * constants.DAY_MILLISECONDS),
];

const OBJECTIVE_STYLES = {
	availability: {color: '#2a78d6', symbol: 'circle', symbolSize: 5},
	latency: {color: '#b86b00', symbol: 'triangle', symbolSize: 7},
} as const;

const VERDICT_COLOURS: ReadonlyMap<Verdict, string> = new Map([
	['not-run', '#2a78d6'],
	['unknown', '#4a3aa7'],
	['upstream-error', '#d23b3b'],
	['slow', '#eda100'],
]);

/**
The burn rate that spends exactly the whole budget.
*/
const BUDGET_LINE = {
	silent: true,
	symbol: 'none',
	label: {show: false},
	lineStyle: {color: '#555555', type: 'dashed'},
	data: [{yAxis: 1}],
} as const;

/**
Draws the burn rates of a service's objectives, a point without requests left out.
*/
export function drawBurnRates(service: ServiceReport, report: BurnReport): string {
	const series = service.objectives.map(({objective, target}, index) => ({
		name: objective,
		type: 'line',
		silent: true,
		data: service.series.map(counts => {
			const {requests, badShare} = judge(objective, counts);
			return requests === 0 ? null : badShare / (1 - target);
		}),
		...OBJECTIVE_STYLES[objective],
		markLine: index === 0 ? BUDGET_LINE : undefined,
	}));
	// The line at 1 is in sight also while hardly anything burns.
	return draw(service, report, series, {max: ({max}: {max: number}) => max < 2 ? 2 : undefined});
}

/**
Draws which requests spent the budget of a service.
*/
export function drawSpending(service: ServiceReport, report: BurnReport): string {
	const series = [...VERDICT_COLOURS].map(([verdict, color]) => ({
		name: VERDICT_TITLES[verdict],
		type: 'bar',
		stack: 'spent',
		// A bar of nothing would be an empty shape for each point.
		data: service.series.map(counts => getCount(counts, verdict)).map(count => count === 0 ? null : count),
		silent: true,
		color,
	}));
	// Without anything spent there would be no axis.
	return draw(service, report, series, {minInterval: 1, max: ({max}: {max: number}) => max >= 1 ? undefined : 1});
}

/**
Returns the span of one point, in milliseconds.
*/
export function getPointMilliseconds(service: ServiceReport, report: BurnReport): number {
	return report.windowMilliseconds / service.series.length;
}

function draw(service: ServiceReport, report: BurnReport, series: readonly object[], valueAxis: object): string {
	const chart = echarts.init(null, null, {
		renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT,
	});
	chart.setOption({
		animation: false,
		textStyle: {fontFamily: 'system-ui, sans-serif'},
		// Widths of texts are guessed here, and those of the browser's font may be larger: the next item stays clear of them.
		legend: {
			top: 0, left: 'left', itemGap: 32, itemHeight: 10, textStyle: {fontSize: FONT_SIZE},
		},
		grid: {
			top: 40, left: 8, right: 24, bottom: 8, outerBoundsMode: 'same', outerBoundsContain: 'axisLabel',
		},
		xAxis: createAgeAxis(service, report),
		yAxis: {
			type: 'value', min: 0, axisLabel: {fontSize: FONT_SIZE}, ...valueAxis,
		},
		series,
	});
	const svg = chart.renderToSVGString();
	chart.dispose();
	return svg;
}

function createAgeAxis(service: ServiceReport, report: BurnReport): object {
	const points = service.series.length;
	const width = getPointMilliseconds(service, report);
	const step = getLabelStep(points, width);
	const ages = service.series.map((_, index) => width * (points - 1 - index));
	const isLabelled = (index: number) => ages[index]! % step === 0;
	return {
		type: 'category',
		data: ages.map(age => formatAge(age)),
		axisLabel: {fontSize: FONT_SIZE, interval: isLabelled},
		axisTick: {alignWithLabel: true, interval: isLabelled},
	};
}

function getLabelStep(points: number, width: number): number {
	const isFitting = (step: number) => step % width === 0 && points * width / step <= MAXIMUM_LABELS;
	return LABEL_STEPS.find(step => isFitting(step)) ?? (Math.ceil(points / MAXIMUM_LABELS) * width);
}
