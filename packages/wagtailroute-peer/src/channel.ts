/**
The way to one other host: calls run side by side, notifications go in order and in batches.

Everything that waits is bounded. A peer that is stopped or cut off would otherwise collect the messages of the whole
fleet in the senders' memory; here its notifications are dropped beyond a bound, as a lossy network would, and calls are
refused at once.
*/
import type * as core from 'wagtailroute-core';
import * as rpc from 'json-rpc-2.0';
import * as results from 'ts-results-es';
import * as undici from 'undici';
import {
	CALL_CONNECTIONS,
	CONNECT_TIMEOUT_MILLISECONDS,
	CALLER_HEADER,
	KEEP_ALIVE_TIMEOUT_MILLISECONDS,
	MAX_BATCH_NOTIFICATIONS,
	MAX_CALLS_IN_FLIGHT,
	MAX_QUEUED_NOTIFICATIONS,
	NOTIFY_TIMEOUT_MILLISECONDS,
	RPC_PATH,
} from './constants.ts';
import {createPeerFailure, type PeerFailure, type PeerFailureKind} from './failures.ts';
import {type FleetKeys, getClientTls} from './secret.ts';

/**
The way to one address.
*/
export type Channel = {
	readonly call: (method: string, parameters: unknown, timeoutMilliseconds: number) => Promise<results.Result<unknown, PeerFailure>>;
	readonly notify: (method: string, parameters: unknown) => void;
	readonly close: () => Promise<void>;
	/**
	Notifications dropped because too many waited.
	*/
	readonly getDroppedCount: () => number;
};

type ChannelOptions = {
	readonly address: core.Address;
	readonly self: core.HostId;
	readonly isCut: () => boolean;
};

/**
Opens the way to an address. No connection is made before the first message.
*/
export function openChannel(options: ChannelOptions, keys: FleetKeys): Channel {
	const callPool = createPool(options, keys, CALL_CONNECTIONS);
	const notificationPool = createPool(options, keys, 1);
	const queue: rpc.JSONRPCRequest[] = [];
	let callsInFlight = 0;
	let dropped = 0;
	let isSending = false;
	let nextId = 1;

	async function sendQueued(): Promise<void> {
		isSending = true;
		while (queue.length > 0) {
			const batch = queue.splice(0, MAX_BATCH_NOTIFICATIONS);
			// eslint-disable-next-line no-await-in-loop -- One batch at a time keeps the order.
			await post(notificationPool, options, batch, NOTIFY_TIMEOUT_MILLISECONDS);
		}

		isSending = false;
	}

	return {
		async call(method, parameters, timeoutMilliseconds) {
			if (callsInFlight >= MAX_CALLS_IN_FLIGHT) {
				return results.Err(createPeerFailure('peer-overloaded', options.address, `${MAX_CALLS_IN_FLIGHT} calls are in flight`));
			}

			callsInFlight++;
			const request = rpc.createJSONRPCRequest(nextId++, method, parameters);
			const answer = await post(callPool, options, request, timeoutMilliseconds);
			callsInFlight--;
			return answer.andThen(value => readAnswer(options, value));
		},
		notify(method, parameters) {
			if (queue.length >= MAX_QUEUED_NOTIFICATIONS) {
				dropped++;
				return;
			}

			queue.push(rpc.createJSONRPCNotification(method, parameters));
			if (!isSending) {
				void sendQueued();
			}
		},
		async close() {
			queue.length = 0;
			await Promise.all([callPool.destroy(), notificationPool.destroy()]);
		},
		getDroppedCount: () => dropped,
	};
}

function createPool(options: ChannelOptions, keys: FleetKeys, connections: number): undici.Pool {
	const {ip, port} = options.address;
	const authority = ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
	return new undici.Pool(`https://${authority}`, {
		connections,
		connectTimeout: CONNECT_TIMEOUT_MILLISECONDS,
		keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MILLISECONDS,
		connect: getClientTls(keys, options.self) as undici.buildConnector.BuildOptions,
	});
}

async function post(
	pool: undici.Pool,
	options: ChannelOptions,
	body: unknown,
	timeoutMilliseconds: number,
): Promise<results.Result<unknown, PeerFailure>> {
	if (options.isCut()) {
		return results.Err(createPeerFailure('peer-timeout', options.address, 'cut off'));
	}

	try {
		const answer = await pool.request({
			path: RPC_PATH,
			method: 'POST',
			headers: {'content-type': 'application/json', [CALLER_HEADER]: options.self},
			body: JSON.stringify(body),
			signal: AbortSignal.timeout(Math.ceil(timeoutMilliseconds)),
		});
		const text = await answer.body.text();
		return results.Ok(text === '' ? undefined : JSON.parse(text) as unknown);
	} catch (error) {
		return results.Err(toPeerFailure(options.address, error));
	}
}

const FAILURE_KINDS: ReadonlyMap<string, PeerFailureKind> = new Map([
	['ECONNREFUSED', 'peer-unreachable'],
	['EHOSTUNREACH', 'peer-unreachable'],
	['ENETUNREACH', 'peer-unreachable'],
	['UND_ERR_CONNECT_TIMEOUT', 'peer-unreachable'],
]);

function toPeerFailure(address: core.Address, error: unknown): PeerFailure {
	if (!(error instanceof Error)) {
		return createPeerFailure('peer-error', address, 'failed');
	}

	if (error.name === 'TimeoutError') {
		return createPeerFailure('peer-timeout', address, 'no answer in time');
	}

	const code = 'code' in error ? String(error.code) : error.name;
	return createPeerFailure(FAILURE_KINDS.get(code) ?? 'peer-disconnected', address, code);
}

function readAnswer(options: ChannelOptions, value: unknown): results.Result<unknown, PeerFailure> {
	// A refused body is answered with an empty one, and the library reads members of whatever it is given.
	if (typeof value !== 'object' || value === null || !rpc.isJSONRPCResponse(value)) {
		return results.Err(createPeerFailure('peer-error', options.address, 'the answer is not JSON-RPC'));
	}

	return value.error === undefined
		? results.Ok(value.result as unknown)
		: results.Err(createPeerFailure('peer-error', options.address, value.error.message));
}
