/**
The counts of one service on one host. Not immutable: a record is made for each request.
*/
import type * as core from 'wagtailroute-core';
import * as constants from './constants.ts';
import {createLatencies, encodeHistogram, type Latencies} from './latencies.ts';
import {createRing, type Ring} from './ring.ts';
import {createSeries, type ServiceSummary} from './summaries.ts';
import {getTotal} from './verdicts.ts';

/**
Counts in buckets of three widths, and latencies.
*/
export type ServiceCounters = {
	readonly fine: Ring;
	readonly middle: Ring;
	coarse: Ring;
	readonly latencies: Latencies;
	windowDays: number;
};

/**
Creates the counters of a service, whose objective is over a number of days.
*/
export function createServiceCounters(windowDays: number): ServiceCounters {
	return {
		fine: createRing(constants.FINE_WIDTH_MILLISECONDS, constants.FINE_SPAN_MILLISECONDS),
		middle: createRing(constants.MIDDLE_WIDTH_MILLISECONDS, constants.MIDDLE_SPAN_MILLISECONDS),
		coarse: createCoarseRing(windowDays),
		latencies: createLatencies(),
		windowDays,
	};
}

function createCoarseRing(windowDays: number): Ring {
	const days = Math.max(constants.MINIMUM_COARSE_DAYS, windowDays);
	return createRing(constants.COARSE_WIDTH_MILLISECONDS, days * constants.DAY_MILLISECONDS);
}

/**
An objective over more days than before needs a longer ring; one over fewer keeps what there is.
*/
export function setWindow(counters: ServiceCounters, windowDays: number, now: number): void {
	if (windowDays === counters.windowDays) {
		return;
	}

	counters.windowDays = windowDays;
	const ring = createCoarseRing(windowDays);
	if (ring.length <= counters.coarse.length) {
		return;
	}

	for (const [age, ...counts] of counters.coarse.readRows(now)) {
		ring.addAll(now - age, counts);
	}

	counters.coarse = ring;
}

/**
Returns the finest buckets that reach over a span.
*/
export function findRing({fine, middle, coarse}: ServiceCounters, spanMilliseconds: number): Ring {
	if (spanMilliseconds <= constants.FINE_SPAN_MILLISECONDS) {
		return fine;
	}

	return spanMilliseconds <= constants.MIDDLE_SPAN_MILLISECONDS ? middle : coarse;
}

/**
Returns what a report needs of a service.
*/
export function summarizeService(
	service: core.ServiceName,
	counters: ServiceCounters,
	spanMilliseconds: number,
	now: number,
): ServiceSummary {
	const sum = (span: number) => findRing(counters, span).sum(span, now);
	const windows = Object.fromEntries(Object.entries(constants.BURN_WINDOWS).map(([name, span]) => [name, sum(span)]));
	const budgetSpan = counters.windowDays * constants.DAY_MILLISECONDS;
	const asked = findRing(counters, spanMilliseconds);
	return {
		service,
		windows: windows as ServiceSummary['windows'],
		budget: counters.coarse.sum(budgetSpan, now),
		asked: asked.sum(spanMilliseconds, now),
		series: createSeries(asked.readRows(now), asked.widthMilliseconds, spanMilliseconds),
		latencies: encodeHistogram(counters.latencies.read(now)),
		countedMilliseconds: Math.min(budgetSpan, getOldestAge(counters, now)),
	};
}

/**
Returns the age of the oldest count, in milliseconds, from the finest buckets that have all that the coarse ones have: those
alone would say nothing of the first hour.
*/
function getOldestAge({fine, middle, coarse}: ServiceCounters, now: number): number {
	const tables = [fine, middle, coarse].map(ring => ring.readRows(now));
	const totals = tables.map(rows => getTotal(rows.map(([, ...counts]) => getTotal(counts))));
	const whole = tables.find((_rows, index) => totals[index] === totals.at(-1));
	return whole?.[0]?.[0] ?? 0;
}
