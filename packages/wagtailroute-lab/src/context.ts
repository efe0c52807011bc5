/**
What the parts of a virtual host are given: virtual time, seeded numbers, and logs and metrics that go nowhere.
*/
import type * as core from 'wagtailroute-core';
import type * as fleet from 'wagtailroute-fleet';
import type * as telemetry from 'wagtailroute-telemetry';
import type * as utils from 'wagtailroute-utils';
import type {Clock} from './clock.ts';

const NOTHING = () => undefined;

const NO_METRICS: telemetry.Metrics = {
	count: NOTHING,
	observe: NOTHING,
	registerGauge: NOTHING,
	label: () => NO_METRICS,
	getText: async () => '',
};

/**
Creates the context of a host.

@param onSuspended Told of each upstream that a dispatcher of the host suspends.
*/
export function createContext(clock: Clock, random: utils.Random, onSuspended: (upstream: core.UpstreamId) => void): fleet.FleetContext {
	const log: telemetry.Log = {
		debug: NOTHING,
		info(sentence, fields) {
			if (sentence === 'Upstream suspended.') {
				onSuspended(String(fields?.upstream));
			}
		},
		warn: NOTHING,
		error(sentence, fields) {
			throw new Error(`${sentence} ${JSON.stringify(fields)}`);
		},
	};
	return {
		now: clock.now, random, logs: () => log, metrics: NO_METRICS, schedule: clock.schedule, repeat: clock.repeat,
	};
}
