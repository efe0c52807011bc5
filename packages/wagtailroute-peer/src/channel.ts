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
	CONNECT_MILLISECONDS,
	FROM_HEADER,
	KEEP_ALIVE_MILLISECONDS,
	MAXIMUM_BATCH,
	MAXIMUM_CALLS,
	MAXIMUM_WAITING_NOTIFICATIONS,
	NOTIFY_MILLISECONDS,
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
	readonly getDropped: () => number;
};

type Sender = {
	readonly address: core.Address;
	readonly self: core.HostId;
	readonly isCut: () => boolean;
};

/**
Opens the way to an address. No connection is made before the first message.
*/
export function openChannel(sender: Sender, keys: FleetKeys): Channel {
	const calls = createPool(sender, keys, CALL_CONNECTIONS);
	const notifications = createPool(sender, keys, 1);
	const waiting: rpc.JSONRPCRequest[] = [];
	let callsInFlight = 0;
	let dropped = 0;
	let isSending = false;
	let nextId = 1;

	async function sendWaiting(): Promise<void> {
		isSending = true;
		while (waiting.length > 0) {
			const batch = waiting.splice(0, MAXIMUM_BATCH);
			// eslint-disable-next-line no-await-in-loop -- One batch at a time keeps the order.
			await post(notifications, sender, batch, NOTIFY_MILLISECONDS);
		}

		isSending = false;
	}

	return {
		async call(method, parameters, timeoutMilliseconds) {
			if (callsInFlight >= MAXIMUM_CALLS) {
				return results.Err(createPeerFailure('peer-overloaded', sender.address, `${MAXIMUM_CALLS} calls are in flight`));
			}

			callsInFlight++;
			const request = rpc.createJSONRPCRequest(nextId++, method, parameters);
			const answer = await post(calls, sender, request, timeoutMilliseconds);
			callsInFlight--;
			return answer.andThen(value => readAnswer(sender, value));
		},
		notify(method, parameters) {
			if (waiting.length >= MAXIMUM_WAITING_NOTIFICATIONS) {
				dropped++;
				return;
			}

			waiting.push(rpc.createJSONRPCNotification(method, parameters));
			if (!isSending) {
				void sendWaiting();
			}
		},
		async close() {
			waiting.length = 0;
			await Promise.all([calls.destroy(), notifications.destroy()]);
		},
		getDropped: () => dropped,
	};
}

function createPool(sender: Sender, keys: FleetKeys, connections: number): undici.Pool {
	const {ip, port} = sender.address;
	const authority = ip.includes(':') ? `[${ip}]:${port}` : `${ip}:${port}`;
	return new undici.Pool(`https://${authority}`, {
		connections,
		connectTimeout: CONNECT_MILLISECONDS,
		keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
		connect: getClientTls(keys, sender.self) as undici.buildConnector.BuildOptions,
	});
}

async function post(
	pool: undici.Pool,
	sender: Sender,
	body: unknown,
	timeoutMilliseconds: number,
): Promise<results.Result<unknown, PeerFailure>> {
	if (sender.isCut()) {
		return results.Err(createPeerFailure('peer-timeout', sender.address, 'cut off'));
	}

	try {
		const answer = await pool.request({
			path: RPC_PATH,
			method: 'POST',
			headers: {'content-type': 'application/json', [FROM_HEADER]: sender.self},
			body: JSON.stringify(body),
			signal: AbortSignal.timeout(Math.ceil(timeoutMilliseconds)),
		});
		const text = await answer.body.text();
		return results.Ok(text === '' ? undefined : JSON.parse(text) as unknown);
	} catch (error) {
		return results.Err(describeError(sender.address, error));
	}
}

const FAILURE_KINDS: ReadonlyMap<string, PeerFailureKind> = new Map([
	['ECONNREFUSED', 'peer-unreachable'],
	['EHOSTUNREACH', 'peer-unreachable'],
	['ENETUNREACH', 'peer-unreachable'],
	['UND_ERR_CONNECT_TIMEOUT', 'peer-unreachable'],
]);

function describeError(address: core.Address, error: unknown): PeerFailure {
	if (!(error instanceof Error)) {
		return createPeerFailure('peer-error', address, 'failed');
	}

	if (error.name === 'TimeoutError') {
		return createPeerFailure('peer-timeout', address, 'no answer in time');
	}

	const code = 'code' in error ? String(error.code) : error.name;
	return createPeerFailure(FAILURE_KINDS.get(code) ?? 'peer-disconnected', address, code);
}

function readAnswer(sender: Sender, value: unknown): results.Result<unknown, PeerFailure> {
	// A refused body is answered with an empty one, and the library reads members of whatever it is given.
	if (typeof value !== 'object' || value === null || !rpc.isJSONRPCResponse(value)) {
		return results.Err(createPeerFailure('peer-error', sender.address, 'the answer is not JSON-RPC'));
	}

	return value.error === undefined
		? results.Ok(value.result as unknown)
		: results.Err(createPeerFailure('peer-error', sender.address, value.error.message));
}
