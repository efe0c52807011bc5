/**
Connection pools to upstreams, one for each address.

undici destroys the connection of an aborted request and never reuses it: a late answer on it could otherwise be taken for the
answer to the next request.
*/
import type * as buffer from 'node:buffer';
import type * as net from 'node:net';
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {CONNECT_TIMEOUT_MILLISECONDS, UPSTREAM_KEEP_ALIVE_MILLISECONDS} from './constants.ts';
import {type Framing, readFraming} from './framing.ts';
import {createOverheadMeter, type OverheadMeter} from './overhead.ts';

/**
The connection pools of a host by address.
*/
export type ConnectionPools = {
	/**
	Returns the pool of an address, and creates it on first use; undefined if no connection can be opened to the address.

	@param limit Maximum number of connections; applies when the pool is created.
	*/
	readonly getPool: (address: core.Address, limit: number) => undici.Pool | undefined;
	/**
	Closes the pools of all addresses that are not given (as `ip:port`), after their requests in progress.
	*/
	readonly retain: (addresses: ReadonlySet<string>) => void;
	/**
	Destroys all pools; requests in progress fail.
	*/
	readonly close: () => Promise<void>;
};

/**
Creates an empty set of pools.
*/
export function createConnectionPools(connectTimeoutMilliseconds: number = CONNECT_TIMEOUT_MILLISECONDS): ConnectionPools {
	const pools = new Map<string, undici.Pool>();
	return {
		getPool(address, limit) {
			const authority = core.formatAddress(address);
			const existing = pools.get(authority);
			if (existing !== undefined || !core.isConnectable(address)) {
				return existing;
			}

			const pool = createPool(authority, limit, connectTimeoutMilliseconds);
			pools.set(authority, pool);
			return pool;
		},
		retain(addresses) {
			for (const [authority, pool] of pools) {
				if (addresses.has(authority)) {
					continue;
				}

				pools.delete(authority);
				void pool.close();
			}
		},
		async close() {
			await Promise.all(pools.values().map(async pool => pool.destroy()));
			pools.clear();
		},
	};
}

function createPool(authority: string, limit: number, connectTimeoutMilliseconds: number): undici.Pool {
	return new undici.Pool(`http://${authority}`, {
		connections: limit,
		pipelining: 1,
		factory: (origin, options: undici.Client.Options) => createUpstreamClient(origin, options, {connectTimeoutMilliseconds}),
		keepAliveTimeout: UPSTREAM_KEEP_ALIVE_MILLISECONDS,
		// The exchange has a deadline for the whole request.
		headersTimeout: 0,
		bodyTimeout: 0,
	});
}

/**
Options of a client of one connection.
*/
export type UpstreamClientOptions = {
	readonly connectTimeoutMilliseconds: number;
};

/**
Creates a client of one connection that limits what its upstream may send besides bodies, and reports a reset in a body as an error.
*/
export function createUpstreamClient(
	origin: string | URL,
	options: undici.Client.Options,
	{connectTimeoutMilliseconds}: UpstreamClientOptions,
): undici.Client {
	const connection: Connection = {meter: createOverheadMeter(), hasFailed: false};
	const connect = undici.buildConnector({timeout: connectTimeoutMilliseconds});
	return new UpstreamClient(origin, {
		...options,
		connect(connectOptions, callback) {
			connect(connectOptions, (...[error, socket]) => {
				if (error !== null) {
					callback(error, null);
					return;
				}

				watchFailure(socket, connection);
				stopOnOverflow(socket);
				connection.meter.watch(socket);
				callback(null, socket);
			});
		},
	}, connection);
}

/**
The connection of a client, one at a time.
*/
type Connection = {
	readonly meter: OverheadMeter;
	hasFailed: boolean;
};

/**
Has to be called before undici registers its own listeners: its listener for errors reports the end of a response.
*/
function watchFailure(socket: net.Socket, connection: Connection): void {
	connection.hasFailed = false;
	socket.once('error', () => {
		connection.hasFailed = true;
	});
}

/**
A connection that was reset in the body of a response that ends with it.
*/
class ResetError extends Error {
	override readonly name = 'ResetError';
	get code(): string {
		return 'ECONNRESET';
	}
}

/**
Makes undici's parser stop when a header section or trailer section is too large. Otherwise it parses the rest of the bytes received and creates an error for each
field of them, which takes up to a second for 64 KiB of short fields.
*/
function stopOnOverflow(socket: net.Socket): void {
	const destroy = socket.destroy.bind(socket);
	socket.destroy = error => {
		destroy(error);
		if (error instanceof undici.errors.HeadersOverflowError) {
			// Thrown through the parser, which undici catches.
			throw error;
		}

		return socket;
	};
}

/**
A client of one connection whose handlers watch the connection.
*/
class UpstreamClient extends undici.Client {
	readonly #connection: Connection;

	constructor(origin: string | URL, options: undici.Client.Options, connection: Connection) {
		super(origin, options);
		this.#connection = connection;
	}

	override dispatch(options: undici.Dispatcher.DispatchOptions, handler: undici.Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, new UpstreamHandler(handler, options.method, this.#connection));
	}
}

class UpstreamHandler implements undici.Dispatcher.DispatchHandler {
	readonly #handler: undici.Dispatcher.DispatchHandler;
	readonly #method: string;
	readonly #connection: Connection;
	#framing: Framing = 'none';

	constructor(handler: undici.Dispatcher.DispatchHandler, method: string, connection: Connection) {
		this.#handler = handler;
		this.#method = method;
		this.#connection = connection;
	}

	onRequestStart(controller: undici.Dispatcher.DispatchController, context: unknown): void {
		this.#connection.meter.start();
		this.#handler.onRequestStart?.(controller, context);
	}

	onResponseStart(...parameters: Parameters<NonNullable<undici.Dispatcher.DispatchHandler['onResponseStart']>>): void {
		const [, status, headers] = parameters;
		this.#framing = readFraming(this.#method, status, headers);
		this.#handler.onResponseStart?.(...parameters);
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: buffer.Buffer): void {
		this.#connection.meter.recordBody(chunk.length);
		this.#handler.onResponseData?.(controller, chunk);
	}

	onResponseEnd(...parameters: Parameters<NonNullable<undici.Dispatcher.DispatchHandler['onResponseEnd']>>): void {
		// Undici also reports a reset as the end of a response that ends with its connection.
		if (this.#framing === 'connection' && this.#connection.hasFailed) {
			this.#handler.onResponseError?.(parameters[0], new ResetError('The connection was reset in the body of a response that ends with it.'));
			return;
		}

		this.#handler.onResponseEnd?.(...parameters);
	}

	onResponseError(controller: undici.Dispatcher.DispatchController, error: Error): void {
		this.#handler.onResponseError?.(controller, error);
	}
}
