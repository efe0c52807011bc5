/**
Counters, gauges and histograms of a process, served as text on its metrics address.
*/
import * as http from 'node:http';
import type * as core from 'wagtailroute-core';
import * as prometheus from 'prom-client';
import * as utils from 'wagtailroute-utils';
import {LATENCY_BUCKETS_MILLISECONDS} from './constants.ts';

/**
Labels of a measurement. Their values must be few: one time series is kept for each.
*/
export type Labels = Readonly<Record<string, string>>;

/**
The metrics of a process.
*/
export type Metrics = {
	/**
	@param amount 1 when absent.
	*/
	readonly count: (name: string, labels?: Labels, amount?: number) => void;
	readonly observe: (name: string, milliseconds: number, labels?: Labels) => void;
	/**
	Registers a value that is read when the metrics are fetched.
	*/
	readonly registerGauge: (name: string, read: () => number) => void;
	/**
	Returns the same metrics for a part of the process: each measurement has these labels besides its own.
	*/
	readonly label: (labels: Labels) => Metrics;
	readonly getText: () => Promise<string>;
};

const PREFIX = 'wagtailroute_';

type GaugeReader = {
	readonly labels: Labels;
	readonly read: () => number;
};

type RegisteredMetrics = {
	readonly registry: prometheus.Registry;
	readonly counters: Map<string, prometheus.Counter>;
	readonly histograms: Map<string, prometheus.Histogram>;
	/**
	The readers of each gauge: the parts of a process may have one each.
	*/
	readonly readers: Map<string, GaugeReader[]>;
};

/**
Creates the metrics of a process.
*/
export function createMetrics(): Metrics {
	return createLabelledMetrics({
		registry: new prometheus.Registry(), counters: new Map(), histograms: new Map(), readers: new Map(),
	}, {});
}

function createLabelledMetrics(registered: RegisteredMetrics, common: Labels): Metrics {
	const {registry, counters, histograms} = registered;
	return {
		count(name, labels = {}, amount = 1) {
			const all = {...common, ...labels};
			const counter = counters.get(name) ?? new prometheus.Counter({
				name: `${PREFIX}${name}_total`, help: name, labelNames: Object.keys(all), registers: [registry],
			});
			counters.set(name, counter);
			counter.inc(all, amount);
		},
		observe(name, milliseconds, labels = {}) {
			const all = {...common, ...labels};
			const histogram = histograms.get(name) ?? new prometheus.Histogram({
				name: `${PREFIX}${name}_milliseconds`, help: name, labelNames: Object.keys(all), buckets: LATENCY_BUCKETS_MILLISECONDS, registers: [registry],
			});
			histograms.set(name, histogram);
			histogram.observe(all, milliseconds);
		},
		registerGauge(name, read) {
			registerGaugeReader(registered, name, {labels: common, read});
		},
		label: labels => createLabelledMetrics(registered, {...common, ...labels}),
		getText: async () => registry.metrics(),
	};
}

function registerGaugeReader({registry, readers}: RegisteredMetrics, name: string, reader: GaugeReader): void {
	const registeredReaders = readers.get(name);
	if (registeredReaders !== undefined) {
		registeredReaders.push(reader);
		return;
	}

	const all = [reader];
	readers.set(name, all);
	const gauge: prometheus.Gauge = new prometheus.Gauge({
		name: `${PREFIX}${name}`,
		help: name,
		labelNames: Object.keys(reader.labels),
		registers: [registry],
		collect() {
			for (const {labels, read} of all) {
				gauge.set(labels, read());
			}
		},
	});
}

/**
A listening server of metrics.
*/
export type MetricsServer = {
	/**
	Where it listens; the system may have chosen the port.
	*/
	readonly address: core.Address;
	readonly close: () => Promise<void>;
};

/**
Serves the metrics on an address. An error that reading them throws is answered with 500 and passed to `onError`.
*/
export async function openMetricsServer(address: core.Address, metrics: Metrics, onError: (error: Error) => void): Promise<MetricsServer> {
	const server = http.createServer((_request, response) => {
		utils.runDetached(async () => respond(metrics, response), error => {
			onError(error);
			if (response.headersSent) {
				response.destroy();
			} else {
				response.writeHead(500).end();
			}
		});
	});
	const listening = await utils.listen(server, address);
	return {
		address: listening,
		close: async () => utils.closeServer(server),
	};
}

async function respond(metrics: Metrics, response: http.ServerResponse): Promise<void> {
	const text = await metrics.getText();
	response.writeHead(200, {'content-type': 'text/plain; version=0.0.4'}).end(text);
}
