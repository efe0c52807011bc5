/**
Callers on plain sockets.
*/
import * as buffer from 'node:buffer';
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type {ExecutionContext} from 'ava';

const WAIT_MILLISECONDS = 10;

/**
Milliseconds that a caller waits at most for what a test expects.
*/
export const MAX_WAIT_MILLISECONDS = 5000;

/**
A caller's connection.
*/
export type Caller = {
	readonly socket: net.Socket;
	readonly errors: string[];
	readonly received: () => string;
	/**
	Resolves with whether the condition holds in time.
	*/
	readonly waitFor: (condition: () => boolean, milliseconds?: number) => Promise<boolean>;
};

/**
Connects to a port on loopback.
*/
export function connect(t: ExecutionContext, port: number, options: Partial<net.TcpNetConnectOpts> = {}): Caller {
	const socket = net.connect({port, host: '127.0.0.1', ...options});
	const errors: string[] = [];
	const chunks: buffer.Buffer[] = [];
	socket.on('data', chunk => {
		chunks.push(chunk);
	});
	socket.on('error', ({code}: NodeJS.ErrnoException) => {
		errors.push(String(code));
	});
	t.teardown(() => {
		socket.destroy();
	});
	return {
		socket,
		errors,
		received: () => buffer.Buffer.concat(chunks).toString('latin1'),
		async waitFor(condition, milliseconds = MAX_WAIT_MILLISECONDS) {
			const end = performance.now() + milliseconds;
			while (!condition() && performance.now() < end) {
				// eslint-disable-next-line no-await-in-loop -- Polls.
				await timers.setTimeout(WAIT_MILLISECONDS);
			}

			return condition();
		},
	};
}
