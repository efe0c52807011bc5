/**
Speaks to a target's peer address as a host of its fleet would, but says anything.

The keys are derived here anew from the secret, as the design states it: a client of the peer package sends well-formed
messages only.
*/
import {Buffer} from 'node:buffer';
import * as crypto from 'node:crypto';
import * as dgram from 'node:dgram';
import type * as tls from 'node:tls';
import type * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {INPUT_MILLISECONDS} from './constants.ts';

const TAG_BYTES = 16;
const KEY_BYTES = 32;
const CONNECTIONS = 8;

function deriveKey(secret: string, use: string): Buffer {
	return Buffer.from(crypto.hkdfSync('sha256', secret, 'wagtailroute', use, KEY_BYTES));
}

const pools = new Map<string, undici.Pool>();

function getPool(to: core.Address, secret: string): undici.Pool {
	const name = `${secret} ${to.port}`;
	const psk = deriveKey(secret, 'tls');
	const options: tls.ConnectionOptions = {
		ciphers: 'ECDHE-PSK-CHACHA20-POLY1305',
		minVersion: 'TLSv1.2',
		maxVersion: 'TLSv1.2',
		pskCallback: () => ({psk, identity: 'fuzz'}),
		checkServerIdentity: () => undefined,
	};
	const pool = pools.get(name) ?? new undici.Pool(`https://${to.ip}:${to.port}`, {
		connections: CONNECTIONS,
		connect: options as undici.buildConnector.BuildOptions,
	});
	pools.set(name, pool);
	return pool;
}

/**
Posts a body and returns the status and the text; status 0 when there was no answer.
*/
export async function postBody(
	to: core.Address,
	{secret, body, path = '/rpc'}: {readonly secret: string; readonly body: string | Buffer; readonly path?: string},
): Promise<{readonly status: number; readonly text: string}> {
	try {
		const answer = await getPool(to, secret).request({
			path,
			method: 'POST',
			headers: {'content-type': 'application/json', 'wagtailroute-host': 'fuzz'},
			body,
			signal: AbortSignal.timeout(INPUT_MILLISECONDS * 5),
		});
		return {status: answer.statusCode, text: await answer.body.text()};
	} catch (error) {
		return {status: 0, text: String(error)};
	}
}

/**
Closes all connections.
*/
export async function closeConnections(): Promise<void> {
	const open = pools.values().toArray();
	pools.clear();
	await Promise.all(open.map(async pool => pool.destroy()));
}

/**
Sends one datagram, tagged with a key of the secret.
*/
export async function sendDatagram(to: core.Address, secret: string, payload: Buffer): Promise<void> {
	const tag = crypto.createHmac('sha256', deriveKey(secret, 'datagram')).update(payload).digest().subarray(0, TAG_BYTES);
	await sendPlainDatagram(to, Buffer.concat([tag, payload]));
}

/**
Sends one datagram as it is.
*/
export async function sendPlainDatagram(to: core.Address, bytes: Buffer): Promise<void> {
	const socket = dgram.createSocket('udp4');
	await new Promise<void>(resolve => {
		socket.send(bytes, to.port, to.ip, () => {
			resolve();
		});
	});
	socket.close();
}
