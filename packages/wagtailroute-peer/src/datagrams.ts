/**
Authenticated datagrams, for messages that may be lost, repeated or reordered without harm (membership probes).

A datagram is the tag of its payload and the payload, a JSON-RPC notification. There is no replay protection here on
purpose: every message that travels this way carries its own version (incarnation, sequence number), so that hearing it
twice changes nothing.
*/
import * as buffer from 'node:buffer';
import * as dgram from 'node:dgram';
import type * as core from 'wagtailroute-core';
import * as rpc from 'json-rpc-2.0';
import {MAX_DATAGRAM_BYTES, TAG_BYTES} from './constants.ts';
import {createTag, type FleetKeys, isTagValid} from './secret.ts';

/**
Told of each authentic datagram.
*/
export type DatagramHandler = (method: string, parameters: unknown) => void;

/**
A socket for authenticated datagrams.
*/
export type DatagramSocket = {
	/**
	Sends, or returns false when the message is too large for one datagram.
	*/
	readonly send: (to: core.Address, method: string, parameters: unknown) => boolean;
	readonly close: () => Promise<void>;
};

/**
Opens a socket.
*/
export async function openDatagramSocket(
	address: core.Address,
	keys: FleetKeys,
	handler: DatagramHandler,
): Promise<DatagramSocket> {
	const socket = dgram.createSocket(address.ip.includes(':') ? 'udp6' : 'udp4');
	socket.on('message', message => {
		receive(message, keys, handler);
	});
	await new Promise<void>((resolve, reject) => {
		socket.once('error', reject);
		socket.bind(address.port, address.ip, () => {
			socket.off('error', reject);
			resolve();
		});
	});
	// An unreachable peer shows up as an error of the socket on some systems; a probe without an answer says the same.
	socket.on('error', () => undefined);
	return {
		send: (to, method, parameters) => send(socket, keys, to, rpc.createJSONRPCNotification(method, parameters)),
		close: async () => new Promise(resolve => {
			socket.close(resolve);
		}),
	};
}

function send(
	socket: dgram.Socket,
	keys: FleetKeys,
	to: core.Address,
	notification: rpc.JSONRPCRequest,
): boolean {
	const payload = buffer.Buffer.from(JSON.stringify(notification));
	if (payload.length + TAG_BYTES > MAX_DATAGRAM_BYTES) {
		return false;
	}

	socket.send([createTag(keys.datagram, payload), payload], to.port, to.ip, () => undefined);
	return true;
}

function receive(message: buffer.Buffer, keys: FleetKeys, handler: DatagramHandler): void {
	const payload = message.subarray(TAG_BYTES);
	if (!isTagValid(keys.datagram, payload, message.subarray(0, TAG_BYTES))) {
		return;
	}

	const notification = parsePayload(payload);
	if (typeof notification === 'object' && notification !== null && rpc.isJSONRPCRequest(notification)) {
		handler(notification.method, notification.params);
	}
}

/**
An authentic tag comes only from a host of the fleet, but that host may be faulty: text that is not JSON would end this process
from within the socket's event.
*/
function parsePayload(payload: buffer.Buffer): unknown {
	try {
		return JSON.parse(payload.toString());
	} catch {
		return undefined;
	}
}
