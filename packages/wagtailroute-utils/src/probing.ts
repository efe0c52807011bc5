/**
Finds out whether a server at an address accepts connections.
*/
import * as net from 'node:net';
import type {ListenAddress} from './listening.ts';

/**
Times of a probe.
*/
export type ProbeOptions = {
	/**
	Milliseconds that a connection may take. A timeout is no refusal.
	*/
	readonly timeoutMilliseconds: number;
	/**
	Milliseconds for which a connection must stay open to count as accepted; 0 when absent.
	*/
	readonly openMilliseconds?: number;
};

/**
Returns whether an address refuses connections, or closes them before they have been open for the given time.
*/
export async function isRefusing({ip, port}: ListenAddress, {timeoutMilliseconds, openMilliseconds = 0}: ProbeOptions): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host: ip, port, timeout: timeoutMilliseconds});
		const mustStayOpen = openMilliseconds > 0;
		const end = (isRefused: boolean) => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.once('connect', () => {
			setTimeout(end, openMilliseconds, false);
		});
		socket.once('timeout', () => {
			end(false);
		});
		socket.once('end', () => {
			end(mustStayOpen);
		});
		socket.once('error', ({code}: NodeJS.ErrnoException) => {
			end(code === 'ECONNREFUSED' || (mustStayOpen && code === 'ECONNRESET'));
		});
		// Without a reader the end of the connection would not be seen.
		socket.resume();
	});
}
