/**
What every part of a host is given: time, random numbers, logs and metrics.
*/
import * as crypto from 'node:crypto';
import process from 'node:process';
import * as telemetry from 'wagtailroute-telemetry';
import * as utils from 'wagtailroute-utils';

/**
What every part is given.
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
	Runs once after a delay.
	*/
	readonly schedule: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Runs again and again.
	*/
	readonly repeat: (milliseconds: number, run: () => void) => utils.Teardown;
};

const SEED_RANGE = 2 ** 31;

/**
Creates the context of a process.
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
