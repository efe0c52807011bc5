/**
Connection pools to upstreams, one for each address.

undici destroys the connection of an aborted request and never reuses it: a late answer on it could otherwise be taken for the
answer to the next request.
*/
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {CONNECT_TIMEOUT_MILLISECONDS, UPSTREAM_KEEP_ALIVE_MILLISECONDS} from './constants.ts';

/**
The connection pool of one address.
*/
export type UpstreamPool = {
	readonly dispatcher: undici.Pool;
	/**
	Returns whether one of its connections is being reset at this moment.
	*/
	readonly isResetting: () => boolean;
};

/**
The connection pools of a host by address.
*/
export type ConnectionPools = {
	/**
	Returns the pool of an address, and creates it on first use.

	@param limit Maximum number of connections; applies when the pool is created.
	*/
	readonly getPool: (address: core.Address, limit: number) => UpstreamPool;
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
	const pools = new Map<string, UpstreamPool>();
	return {
		getPool(address, limit) {
			const authority = core.formatAddress(address);
			const pool = pools.get(authority) ?? createPool(authority, limit, connectTimeoutMilliseconds);
			pools.set(authority, pool);
			return pool;
		},
		retain(addresses) {
			for (const [authority, pool] of pools) {
				if (addresses.has(authority)) {
					continue;
				}

				pools.delete(authority);
				void pool.dispatcher.close();
			}
		},
		async close() {
			await Promise.all(pools.values().map(async pool => pool.dispatcher.destroy()));
			pools.clear();
		},
	};
}

function createPool(authority: string, limit: number, connectTimeoutMilliseconds: number): UpstreamPool {
	let resettingConnections = 0;
	const connect = undici.buildConnector({timeout: connectTimeoutMilliseconds});
	const dispatcher = new undici.Pool(`http://${authority}`, {
		connections: limit,
		pipelining: 1,
		connect(options, callback) {
			connect(options, (...[error, socket]) => {
				// Registered before undici's own listener, so that the reset is already counted while that one runs.
				socket?.once('error', () => {
					resettingConnections++;
					setImmediate(() => {
						resettingConnections--;
					});
				});
				if (error === null) {
					callback(null, socket);
				} else {
					callback(error, null);
				}
			});
		},
		keepAliveTimeout: UPSTREAM_KEEP_ALIVE_MILLISECONDS,
		// The exchange has a deadline for the whole request.
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	return {dispatcher, isResetting: () => resettingConnections > 0};
}
