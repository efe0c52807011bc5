/**
Logs as JSON lines on standard output: short sentences with a fixed prefix for each part, and fields for programs.

Logs must neither fill the memory nor slow requests down. Each kind of line has a bounded rate; what was left out is counted
and told with the next line of its kind. While standard output takes nothing, lines are dropped and counted.
*/
import type * as stream from 'node:stream';
import * as winston from 'winston';
import {
	MAX_LINES_PER_SECOND,
	BURST_SECONDS,
	MILLISECONDS_PER_SECOND,
	MAX_URGENT_LINES_PER_SECOND,
	MAX_BUFFERED_LOG_BYTES,
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
export type LogOptions = {
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

type LineRateLimit = {
	tokens: number;
	refilledAt: number;
	leftOut: number;
};

/**
Creates the logs of a process.
*/
export function createLogs({output, level, now, fields}: LogOptions): Logs {
	// A log that cannot be written must not end the process: lines come again when there is room.
	output.on('error', () => undefined);
	const logger = winston.createLogger({
		level,
		defaultMeta: fields,
		format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
		transports: [new winston.transports.Stream({stream: output})],
	});
	const rateLimits = new Map<string, LineRateLimit>();

	const consumeToken = (kind: string, perSecond: number) => {
		const rateLimit = rateLimits.get(kind) ?? {tokens: BURST_SECONDS * perSecond, refilledAt: now(), leftOut: 0};
		rateLimits.set(kind, rateLimit);
		const refilled = (now() - rateLimit.refilledAt) * perSecond / MILLISECONDS_PER_SECOND;
		rateLimit.tokens = Math.min(BURST_SECONDS * perSecond, rateLimit.tokens + refilled);
		rateLimit.refilledAt = now();
		if (rateLimit.tokens < 1 || output.writableLength > MAX_BUFFERED_LOG_BYTES) {
			rateLimit.leftOut++;
			return undefined;
		}

		rateLimit.tokens--;
		return rateLimit;
	};

	const write = (part: string, lineLevel: LogLevel) => (sentence: string, details: LogFields = {}) => {
		if (!logger.isLevelEnabled(lineLevel)) {
			return;
		}

		const isUrgent = lineLevel === 'error' || lineLevel === 'warn';
		const rateLimit = consumeToken(`${part} ${lineLevel} ${sentence}`, isUrgent ? MAX_URGENT_LINES_PER_SECOND : MAX_LINES_PER_SECOND);
		if (rateLimit === undefined) {
			return;
		}

		const {leftOut} = rateLimit;
		rateLimit.leftOut = 0;
		logger.log(lineLevel, `${part}: ${sentence}`, leftOut === 0 ? details : {...details, leftOut});
	};

	return part => ({
		error: write(part, 'error'),
		warn: write(part, 'warn'),
		info: write(part, 'info'),
		debug: write(part, 'debug'),
	});
}
