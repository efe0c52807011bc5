/**
What every part of a host uses: time, timers, random numbers, logs and metrics. Tests and the lab replace them.
*/
import * as crypto from 'node:crypto';
import process from 'node:process';
import * as telemetry from 'wagtailroute-telemetry';
import * as utils from 'wagtailroute-utils';

/**
Time, timers, random numbers, logs and metrics of a host.
*/
export type FleetContext = {
	/**
	Monotonic time in milliseconds. The time of day is never used: it may jump.
	*/
	readonly now: () => number;
	readonly random: utils.Random;
	readonly logs: telemetry.Logs;
	readonly metrics: telemetry.Metrics;
	/**
	Calls a function once after a delay; the teardown cancels it.
	*/
	readonly schedule: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Calls a function at an interval until the teardown.
	*/
	readonly repeat: (milliseconds: number, run: () => void) => utils.Teardown;
};

const SEED_RANGE = 2 ** 31;

/**
Creates the context of a process, which logs to standard output.
*/
export function createContext(hostId: string, level: telemetry.LogLevel): FleetContext {
	const now = () => performance.now();
	return {
		now,
		random: utils.createRandom(crypto.randomInt(SEED_RANGE)),
		logs: telemetry.createLogs({
			output: process.stdout, level, now, fields: {host: hostId},
		}),
		metrics: telemetry.createMetrics(),
		schedule: utils.schedule,
		repeat: utils.repeat,
	};
}
