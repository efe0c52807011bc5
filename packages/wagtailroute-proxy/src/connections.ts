/**
Connections to upstreams, one pool an address.

A connection whose request was abandoned is destroyed by the HTTP client and never used again: a late answer on it could
otherwise be taken for the answer to the next request.
*/
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {CONNECT_TIMEOUT_MILLISECONDS, UPSTREAM_KEEP_ALIVE_MILLISECONDS} from './constants.ts';

/**
The connections to one address.
*/
export type UpstreamPool = {
	readonly dispatcher: undici.Pool;
	/**
	Says whether one of its connections is being reset at this moment.
	*/
	readonly isResetting: () => boolean;
};

/**
The pools of a host.
*/
export type ConnectionPools = {
	readonly getPool: (address: core.Address, limit: number) => UpstreamPool;
	/**
	Lets the pools of all other addresses finish what they do and closes them.
	*/
	readonly retain: (addresses: ReadonlySet<string>) => void;
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
				// Registered before the HTTP client's own listener, so that it is known while that one runs.
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
		// The exchange has its own deadline for the whole request.
		headersTimeout: 0,
		bodyTimeout: 0,
	});
	return {dispatcher, isResetting: () => resettingConnections > 0};
}
