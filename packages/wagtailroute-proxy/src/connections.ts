/**
Connections to upstreams, one pool an address.

A connection whose request was abandoned is destroyed by the HTTP client and never used again: a late answer on it could
otherwise be taken for the answer to the next request.
*/
import * as core from 'wagtailroute-core';
import * as undici from 'undici';
import {CONNECT_MILLISECONDS, UPSTREAM_KEEP_ALIVE_MILLISECONDS} from './constants.ts';

/**
The pools of a host.
*/
export type Connections = {
	readonly getPool: (address: core.Address, limit: number) => undici.Pool;
	/**
	Lets the pools of all other addresses finish what they do and closes them.
	*/
	readonly retain: (addresses: ReadonlySet<string>) => void;
	readonly close: () => Promise<void>;
};

/**
Creates an empty set of pools.
*/
export function createConnections(): Connections {
	const pools = new Map<string, undici.Pool>();
	return {
		getPool(address, limit) {
			const name = core.formatAddress(address);
			const pool = pools.get(name) ?? createPool(name, limit);
			pools.set(name, pool);
			return pool;
		},
		retain(addresses) {
			for (const [name, pool] of pools) {
				if (addresses.has(name)) {
					continue;
				}

				pools.delete(name);
				void pool.close();
			}
		},
		async close() {
			await Promise.all(pools.values().map(async pool => pool.destroy()));
			pools.clear();
		},
	};
}

function createPool(name: string, limit: number): undici.Pool {
	return new undici.Pool(`http://${name}`, {
		connections: limit,
		pipelining: 1,
		connectTimeout: CONNECT_MILLISECONDS,
		keepAliveTimeout: UPSTREAM_KEEP_ALIVE_MILLISECONDS,
		// The exchange has its own deadline for the whole request.
		headersTimeout: 0,
		bodyTimeout: 0,
	});
}
