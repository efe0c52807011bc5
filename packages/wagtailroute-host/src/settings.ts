/**
Settings of a host, as parsed and validated by the command line.
*/
import type * as core from 'wagtailroute-core';

/**
Role of a host: `entry` serves callers, `control` stores the replicated state on its disk.
*/
export type HostRole = 'entry' | 'control';

/**
Settings of one host.
*/
export type HostSettings = {
	readonly hostId: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly region: core.Region;
	readonly roles: readonly HostRole[];
	readonly trafficAddress: core.Address;
	readonly adminAddress: core.Address;
	readonly peerAddress: core.Address;
	readonly seeds: readonly core.Address[];
	readonly dataFolder?: string;
	/**
	Initial control members; ignored when the data folder holds state.
	*/
	readonly initialControl: ReadonlyArray<{readonly id: core.HostId; readonly address: core.Address}>;
	readonly operatorToken: string;
	readonly fleetSecret: string;
	readonly logFormat: 'text' | 'json';
	readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
	/**
	UDP address that metrics are sent to; without it none are sent.
	*/
	readonly statsd?: core.Address;
};
