/**
The settings of a host, as the command line hands them over: checked already.
*/
import type * as core from 'wagtailroute-core';

/**
What a host does: `entry` serves callers, `control` keeps the replicated state on its disk.
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
	The first control members; a data folder that holds state goes before it.
	*/
	readonly initialControl: ReadonlyArray<{readonly id: core.HostId; readonly address: core.Address}>;
	readonly operatorToken: string;
	readonly fleetSecret: string;
	readonly logFormat: 'text' | 'json';
	readonly logLevel: 'error' | 'warn' | 'info' | 'debug';
	/**
	Where metrics go by UDP; none when absent.
	*/
	readonly statsd?: core.Address;
};
