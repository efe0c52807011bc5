/**
The receiving side of the calls between hosts: JSON-RPC 2.0 in the bodies of HTTPS requests, the key taken from the fleet
secret.
*/
import type * as http from 'node:http';
import * as https from 'node:https';
import type * as core from 'wagtailroute-core';
import * as rpc from 'json-rpc-2.0';
import * as utils from 'wagtailroute-utils';
import {CALLER_HEADER, MAX_BODY_BYTES, RPC_PATH} from './constants.ts';
import {type FleetKeys, getServerTls} from './secret.ts';

/**
Who calls.
*/
export type Caller = {
	readonly from: core.HostId;
};

/**
The server's methods and its life.
*/
export type RpcServer = {
	readonly methods: rpc.JSONRPCServer<Caller>;
	readonly close: () => Promise<void>;
};

/**
Opens the server.
*/
export async function openRpcServer(
	address: core.Address,
	keys: FleetKeys,
	onHandshakeRefused: () => void = () => undefined,
): Promise<RpcServer> {
	const methods = new rpc.JSONRPCServer<Caller>({errorListener: () => undefined});
	const server = https.createServer(getServerTls(keys), (request, response) => {
		void handleRequest(methods, request, response);
	});
	server.keepAliveTimeout = 0;
	server.on('tlsClientError', (error: NodeJS.ErrnoException) => {
		// A peer that ends in the midst of a handshake is no stranger: only what the TLS library itself refused counts.
		if (error.code?.startsWith('ERR_SSL') === true) {
			onHandshakeRefused();
		}
	});
	await utils.listen(server, address);
	return {
		methods,
		close: async () => utils.closeServer(server),
	};
}

async function handleRequest(
	methods: rpc.JSONRPCServer<Caller>,
	request: http.IncomingMessage,
	response: http.ServerResponse,
): Promise<void> {
	const text = request.url === RPC_PATH ? await readBody(request) : undefined;
	const call = parseBody(text ?? '');
	if (call === undefined) {
		response.writeHead(400).end();
		return;
	}

	const from = String(request.headers[CALLER_HEADER] ?? '');
	const result = await receive(methods, call, from);
	if (result === null) {
		response.writeHead(204).end();
		return;
	}

	response.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(result));
}

/**
Takes one call or a batch of them. A batch runs side by side, each call of it begun in order.
*/
async function receive(
	methods: rpc.JSONRPCServer<Caller>,
	call: rpc.JSONRPCRequest | rpc.JSONRPCRequest[],
	from: core.HostId,
): Promise<unknown> {
	return Array.isArray(call) ? methods.receive(call, {from}) : methods.receive(call, {from});
}

/**
Returns nothing for a body that is no call and no batch of calls. The library reads members of whatever it is given: a `null`
from a faulty host would be a rejection that nobody handles, and end this process.
*/
function parseBody(text: string): rpc.JSONRPCRequest | rpc.JSONRPCRequest[] | undefined {
	try {
		const value: unknown = JSON.parse(text);
		const calls: readonly unknown[] = Array.isArray(value) ? value : [value];
		const isCall = calls.every(call => typeof call === 'object' && call !== null);
		return isCall ? value as rpc.JSONRPCRequest | rpc.JSONRPCRequest[] : undefined;
	} catch {
		return undefined;
	}
}

/**
Reads a body up to the bound. Returns nothing when it is larger or the connection ends before it is whole.
*/
async function readBody(request: http.IncomingMessage): Promise<string | undefined> {
	request.setEncoding('utf8');
	const chunks: string[] = [];
	let size = 0;
	try {
		for await (const chunk of request as AsyncIterable<string>) {
			size += chunk.length;
			if (size > MAX_BODY_BYTES) {
				return undefined;
			}

			chunks.push(chunk);
		}
	} catch {
		return undefined;
	}

	return chunks.join('');
}
