/**
Finds out whether an address refuses connections.
*/
import * as net from 'node:net';
import type {ListenAddress} from './listening.ts';

/**
Returns whether an address refuses connections: no process listens there. A timeout or another error is no refusal.
*/
export async function isRefusing({ip, port}: ListenAddress, timeoutMilliseconds: number): Promise<boolean> {
	return new Promise(resolve => {
		const socket = net.connect({host: ip, port, timeout: timeoutMilliseconds});
		const end = (isRefused: boolean) => {
			socket.destroy();
			resolve(isRefused);
		};

		socket.once('connect', () => {
			end(false);
		});
		socket.once('timeout', () => {
			end(false);
		});
		socket.once('error', (error: NodeJS.ErrnoException) => {
			end(error.code === 'ECONNREFUSED');
		});
	});
}
