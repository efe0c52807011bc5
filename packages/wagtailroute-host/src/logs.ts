/**
Logs: one sentence a line, with the part of the host and fields, as text or JSON on standard error.
*/
import * as process from 'node:process';
import * as winston from 'winston';

/**
Part of a host, written as the field `part` of a line.
*/
export type LogPart = 'host' | 'membership' | 'control' | 'catalogue' | 'announcements' | 'traffic' | 'admin' | 'records' | 'detection';

/**
Fields of a line, for programs.
*/
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
Writes the lines of one part.
*/
export type Log = {
	readonly error: (sentence: string, fields?: LogFields) => void;
	readonly warn: (sentence: string, fields?: LogFields) => void;
	readonly info: (sentence: string, fields?: LogFields) => void;
	readonly debug: (sentence: string, fields?: LogFields) => void;
};

const LINE_FORMATS = {
	json: winston.format.combine(winston.format.timestamp(), winston.format.json()),
	text: winston.format.combine(winston.format.timestamp(), winston.format.printf(line => {
		const {
			timestamp, level, message, part, ...fields
		} = line;
		const details = Object.entries(fields).map(([name, value]) => ` ${name}=${String(value)}`).join('');
		return `${String(timestamp)} ${level} [${String(part)}] ${String(message)}${details}`;
	})),
} as const;

/**
Creates the logs of a host and returns the function that gives the log of a part.
*/
export function createLogs(settings: {readonly logFormat: 'text' | 'json'; readonly logLevel: string}): (part: LogPart) => Log {
	// Several hosts in one process share the stream, which needs the listener once.
	process.stderr.off('error', dropLine);
	process.stderr.on('error', dropLine);
	const logger = winston.createLogger({
		level: settings.logLevel,
		format: LINE_FORMATS[settings.logFormat],
		// Standard output is for the one line that says the host is ready.
		transports: [new winston.transports.Stream({stream: process.stderr})],
	});
	return part => {
		const child = logger.child({part});
		const write = (level: string) => (sentence: string, fields: LogFields = {}) => {
			child.log(level, sentence, fields);
		};

		return {
			error: write('error'),
			warn: write('warn'),
			info: write('info'),
			debug: write('debug'),
		};
	};
}

/**
Ignores the error of a line that could not be written. On a full disk each write of a log fails, and an error event without a
listener ends the process, so even hosts that need no disk would end. Writing resumes when there is room.
*/
function dropLine(): void {
	// There is nowhere else to report the error.
}
