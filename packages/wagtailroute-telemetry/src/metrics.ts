/**
Counters, gauges and histograms of a process, served as text on its metrics address.
*/
import * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import * as prometheus from 'prom-client';
import * as utils from 'wagtailroute-utils';
import {LATENCY_BUCKETS} from './constants.ts';

/**
Labels of a measurement. Their values must be few: one time series is kept for each.
*/
export type Labels = Readonly<Record<string, string>>;

/**
The metrics of a process.
*/
export type Metrics = {
	readonly count: (name: string, labels?: Labels) => void;
	readonly observe: (name: string, milliseconds: number, labels?: Labels) => void;
	/**
	Registers a value that is read when the metrics are fetched.
	*/
	readonly registerGauge: (name: string, read: () => number) => void;
	readonly getText: () => Promise<string>;
};

const PREFIX = 'wagtailroute_';

/**
Creates the metrics of a process.
*/
export function createMetrics(): Metrics {
	const registry = new prometheus.Registry();
	const counters = new Map<string, prometheus.Counter>();
	const histograms = new Map<string, prometheus.Histogram>();
	return {
		count(name, labels = {}) {
			const counter = counters.get(name) ?? new prometheus.Counter({
				name: `${PREFIX}${name}_total`, help: name, labelNames: Object.keys(labels), registers: [registry],
			});
			counters.set(name, counter);
			counter.inc(labels);
		},
		observe(name, milliseconds, labels = {}) {
			const histogram = histograms.get(name) ?? new prometheus.Histogram({
				name: `${PREFIX}${name}_milliseconds`, help: name, labelNames: Object.keys(labels), buckets: LATENCY_BUCKETS, registers: [registry],
			});
			histograms.set(name, histogram);
			histogram.observe(labels, milliseconds);
		},
		registerGauge(name, read) {
			const gauge: prometheus.Gauge = new prometheus.Gauge({
				name: `${PREFIX}${name}`,
				help: name,
				registers: [registry],
				collect() {
					gauge.set(read());
				},
			});
		},
		getText: async () => registry.metrics(),
	};
}

/**
Serves the metrics on an address. Returns how to stop.
*/
export async function openMetricsServer(address: core.Address, metrics: Metrics): Promise<{readonly close: () => Promise<void>}> {
	const server = http.createServer((_request, response) => {
		void answer(metrics, response);
	});
	await utils.listen(server, address);
	return {
		close: async () => utils.closeServer(server),
	};
}

async function answer(metrics: Metrics, response: http.ServerResponse): Promise<void> {
	const text = await metrics.getText();
	response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
}
