/**
Metrics, sent with StatsD over UDP; without an address in the settings nothing is sent.
*/
import * as hotShots from 'hot-shots';
import type * as core from 'wagtailroute-core';

/**
Counters, timings in milliseconds and gauges, with tags by name.
*/
export type Metrics = {
	readonly count: (name: string, tags?: Readonly<Record<string, string>>) => void;
	readonly time: (name: string, milliseconds: number, tags?: Readonly<Record<string, string>>) => void;
	readonly gauge: (name: string, value: number, tags?: Readonly<Record<string, string>>) => void;
	readonly close: () => Promise<void>;
};

const NO_OP_METRICS: Metrics = {
	count: () => undefined,
	time: () => undefined,
	gauge: () => undefined,
	close: async () => undefined,
};

/**
Creates the metrics of a host, which is tagged on all of them. Errors of sending are ignored.
*/
export function createMetrics(host: core.HostId, address: core.Address | undefined): Metrics {
	if (address === undefined) {
		return NO_OP_METRICS;
	}

	const client = new hotShots.StatsD({
		host: address.ip,
		port: address.port,
		prefix: 'wagtailroute.',
		globalTags: {host},
		// Lines are sent once a second: a datagram per request would cost more than routing the request.
		maxBufferSize: 1400,
		bufferFlushInterval: 1000,
		errorHandler: () => undefined,
	});
	return {
		count(name, tags = {}) {
			client.increment(name, tags);
		},
		time(name, milliseconds, tags = {}) {
			client.timing(name, milliseconds, tags);
		},
		gauge(name, value, tags = {}) {
			client.gauge(name, value, tags);
		},
		close: async () => new Promise(resolve => {
			client.close(() => {
				resolve();
			});
		}),
	};
}
