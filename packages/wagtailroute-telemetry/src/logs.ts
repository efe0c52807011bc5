/**
Logs as JSON lines on standard output: short sentences with a fixed prefix for each part, and fields for programs.

Logs must neither fill the memory nor slow requests down. Each kind of line has a bounded rate; what was left out is counted
and told with the next line of its kind. While standard output takes nothing, lines are dropped and counted.
*/
import type * as stream from 'node:stream';
import * as winston from 'winston';
import {
	LINES_PER_SECOND,
	LINES_SAVED,
	MILLISECONDS_PER_SECOND,
	URGENT_LINES_PER_SECOND,
	WAITING_LOG_BYTES,
} from './constants.ts';

/**
Details of a line, for programs.
*/
export type LogFields = Readonly<Record<string, unknown>>;

/**
Level of a line. Failures and refusals are `warn` and above and have a rate of their own, so that successes never displace them.
*/
export type LogLevel = 'error' | 'warn' | 'info' | 'debug';

/**
Writes the lines of one part.
*/
export type Log = Readonly<Record<LogLevel, (sentence: string, fields?: LogFields) => void>>;

/**
Creates the log of each part of a process.
*/
export type Logs = (part: string) => Log;

/**
What logs are made with.
*/
export type LogPlan = {
	readonly output: stream.Writable;
	readonly level: LogLevel;
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: () => number;
	/**
	Fields that every line has.
	*/
	readonly fields: LogFields;
};

type Allowance = {
	credit: number;
	at: number;
	leftOut: number;
};

/**
Creates the logs of a process.
*/
export function createLogs({output, level, now, fields}: LogPlan): Logs {
	// A log that cannot be written must not end the process: lines come again when there is room.
	output.on('error', () => undefined);
	const logger = winston.createLogger({
		level,
		defaultMeta: fields,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Stream({stream: output})],
	});
	const allowances = new Map<string, Allowance>();

	const takeAllowance = (kind: string, perSecond: number) => {
		const allowance = allowances.get(kind) ?? {credit: LINES_SAVED * perSecond, at: now(), leftOut: 0};
		allowances.set(kind, allowance);
		const earned = (now() - allowance.at) * perSecond / MILLISECONDS_PER_SECOND;
		allowance.credit = Math.min(LINES_SAVED * perSecond, allowance.credit + earned);
		allowance.at = now();
		if (allowance.credit < 1 || output.writableLength > WAITING_LOG_BYTES) {
			allowance.leftOut++;
			return undefined;
		}

		allowance.credit--;
		return allowance;
	};

	const write = (part: string, lineLevel: LogLevel) => (sentence: string, details: LogFields = {}) => {
		if (!logger.isLevelEnabled(lineLevel)) {
			return;
		}

		const isUrgent = lineLevel === 'error' || lineLevel === 'warn';
		const allowance = takeAllowance(`${part} ${lineLevel} ${sentence}`, isUrgent ? URGENT_LINES_PER_SECOND : LINES_PER_SECOND);
		if (allowance === undefined) {
			return;
		}

		const {leftOut} = allowance;
		allowance.leftOut = 0;
		logger.log(lineLevel, `${part}: ${sentence}`, leftOut === 0 ? details : {...details, leftOut});
	};

	return part => ({
		error: write(part, 'error'),
		warn: write(part, 'warn'),
		info: write(part, 'info'),
		debug: write(part, 'debug'),
	});
}
