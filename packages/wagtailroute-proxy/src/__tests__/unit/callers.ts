/**
Callers of a traffic server on plain sockets.
*/
import * as net from 'node:net';
import * as timers from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import type {Fixture} from './fixture.ts';

const WAIT_MILLISECONDS = 10;

/**
Milliseconds that a caller waits at most for what a test expects.
*/
export const MAX_WAIT_MILLISECONDS = 4000;

/**
A caller's connection.
*/
export type Caller = {
	readonly socket: net.Socket;
	readonly received: () => string;
	readonly errors: string[];
	/**
	Resolves with whether the condition holds in time.
	*/
	readonly waitFor: (condition: () => boolean, milliseconds?: number) => Promise<boolean>;
};

/**
Connects to a traffic server.
*/
export function connect(t: ExecutionContext, {address}: Pick<Fixture, 'address'>, options: Partial<net.TcpNetConnectOpts> = {}): Caller {
	const socket = net.connect({port: address.port, host: address.ip, ...options});
	const errors: string[] = [];
	let received = '';
	socket.setEncoding('latin1');
	socket.on('data', text => {
		received += String(text);
	});
	socket.on('error', ({code}: NodeJS.ErrnoException) => {
		errors.push(String(code));
	});
	t.teardown(() => {
		socket.destroy();
	});
	return {
		socket,
		received: () => received,
		errors,
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
