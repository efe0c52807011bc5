/**
Connections to upstreams, one pool an address.

A connection whose request was abandoned is destroyed by the HTTP client and never used again: a late answer on it could
otherwise be taken for the answer to the next request.
*/
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {CONNECT_MILLISECONDS, UPSTREAM_KEEP_ALIVE_MILLISECONDS} from './constants.ts';

/**
The connections to one address.
*/
export type Pool = {
	readonly dispatcher: undici.Pool;
	/**
	Says whether one of its connections is being reset at this moment.
	*/
	readonly isReset: () => boolean;
};

/**
The pools of a host.
*/
export type Connections = {
	readonly getPool: (address: core.Address, limit: number) => Pool;
	/**
	Lets the pools of all other addresses finish what they do and closes them.
	*/
	readonly retain: (addresses: ReadonlySet<string>) => void;
	readonly close: () => Promise<void>;
};

/**
Creates an empty set of pools.
*/
export function createConnections(connectMilliseconds: number = CONNECT_MILLISECONDS): Connections {
	const pools = new Map<string, Pool>();
	return {
		getPool(address, limit) {
			const name = core.formatAddress(address);
			const pool = pools.get(name) ?? createPool(name, limit, connectMilliseconds);
			pools.set(name, pool);
			return pool;
		},
		retain(addresses) {
			for (const [name, pool] of pools) {
				if (addresses.has(name)) {
					continue;
				}

				pools.delete(name);
				void pool.dispatcher.close();
			}
		},
		async close() {
			await Promise.all(pools.values().map(async pool => pool.dispatcher.destroy()));
			pools.clear();
		},
	};
}

function createPool(name: string, limit: number, connectMilliseconds: number): Pool {
	let resets = 0;
	const connect = undici.buildConnector({timeout: connectMilliseconds});
	const dispatcher = new undici.Pool(`http://${name}`, {
		connections: limit,
		pipelining: 1,
		connect(options, callback) {
			connect(options, (...[error, socket]) => {
				// Registered before the HTTP client's own listener, so that it is known while that one runs.
				socket?.once('error', () => {
					resets++;
					setImmediate(() => {
						resets--;
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
	return {dispatcher, isReset: () => resets > 0};
}
