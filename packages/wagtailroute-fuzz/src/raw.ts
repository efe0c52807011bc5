/**
Bytes over a plain TCP connection.
*/
import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import type * as core from 'wagtailroute-core';
import {INPUT_MILLISECONDS} from './constants.ts';

/**
How bytes are sent: whole, in pieces with a pause between, or left off early.
*/
export type Pace = 'whole' | 'pieces' | 'closed-early' | 'reset' | 'half-closed';

const PIECES = 4;
const PAUSE_MILLISECONDS = 5;

/**
Sends bytes and returns what came back until the end or a pause.
*/
export async function sendRaw(to: core.Address, bytes: Buffer, pace: Pace, patienceMilliseconds = INPUT_MILLISECONDS): Promise<string> {
	return new Promise(resolve => {
		const received: Buffer[] = [];
		const socket = net.connect(to.port, to.ip);
		const end = () => {
			socket.destroy();
			resolve(Buffer.concat(received).toString('latin1'));
		};

		socket.setTimeout(patienceMilliseconds, end);
		socket.on('data', chunk => {
			received.push(chunk);
			socket.setTimeout(INPUT_MILLISECONDS);
		});
		socket.on('error', end);
		socket.on('close', end);
		socket.once('connect', () => {
			PACES[pace](socket, bytes);
		});
	});
}

const PACES: Readonly<Record<Pace, (socket: net.Socket, bytes: Buffer) => void>> = {
	whole(socket, bytes) {
		socket.write(bytes);
	},
	pieces(socket, bytes) {
		const size = Math.ceil(bytes.length / PIECES);
		for (let piece = 0; piece < PIECES; piece++) {
			setTimeout(() => {
				if (socket.writable) {
					socket.write(bytes.subarray(piece * size, (piece + 1) * size));
				}
			}, piece * PAUSE_MILLISECONDS);
		}
	},
	'closed-early'(socket, bytes) {
		socket.write(bytes.subarray(0, bytes.length / 2), () => {
			socket.destroy();
		});
	},
	reset(socket, bytes) {
		socket.write(bytes, () => {
			socket.resetAndDestroy();
		});
	},
	'half-closed'(socket, bytes) {
		socket.end(bytes);
	},
};

/**
All paces, the plain one more often.
*/
export const ALL_PACES: readonly Pace[] = ['whole', 'whole', 'whole', 'pieces', 'closed-early', 'reset', 'half-closed'];
