/**
Dependencies passed to every part of a host: settings, calls between hosts, the snapshot of its state, time and logs. Parts
depend on each other only through the snapshot and the methods and commands that they register.
*/
import type * as catalogue from 'wagtailroute-catalogue';
import type * as core from 'wagtailroute-core';
import type * as peer from 'wagtailroute-peer';
import type * as replication from 'wagtailroute-replication';
import type * as utils from 'wagtailroute-utils';
import type {Log, LogPart} from './logs.ts';
import type {Metrics} from './metrics.ts';
import type {HostRole, HostSettings} from './settings.ts';

/**
Host of the fleet, as this host knows it from membership.
*/
export type Member = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	readonly region: core.Region;
	readonly roles: readonly HostRole[];
	readonly trafficAddress: core.Address;
	readonly adminAddress: core.Address;
	readonly peerAddress: core.Address;
	readonly state: 'alive' | 'suspect' | 'left' | 'dead';
	readonly draining: boolean;
	/**
	Random identifier of the process; a restart changes it.
	*/
	readonly boot: string;
};

/**
State of a host; immutable, replaced by each update.
*/
export type HostState = {
	/**
	Catalogue in force on this host.
	*/
	readonly view: catalogue.View;
	/**
	All known hosts, including this one.
	*/
	readonly members: ReadonlyMap<core.HostId, Member>;
	/**
	Hosts that carry each service; services without carriers are absent.
	*/
	readonly carriers: ReadonlyMap<core.ServiceName, readonly core.HostId[]>;
	readonly isDraining: boolean;
};

/**
Commands by which a part calls another without importing it.
*/
export type HostCommands = {
	/**
	Fetches the catalogue from a host that has reported a newer revision.
	*/
	readonly 'fetch-catalogue': {readonly address: core.Address; readonly revision: catalogue.Revision};
};

/**
Dependencies passed to every part of a host.
*/
export type HostContext = {
	readonly settings: HostSettings;
	/**
	Random identifier of this process.
	*/
	readonly boot: string;
	readonly peer: peer.Peer;
	readonly store: core.SnapshotStore<HostState>;
	readonly commands: core.CommandRegistry<HostCommands>;
	/**
	Index of the routes of the catalogue in force.
	*/
	readonly routes: catalogue.RouteIndex;
	readonly log: (part: LogPart) => Log;
	readonly metrics: Metrics;
	/**
	Monotonic time in milliseconds.
	*/
	readonly now: () => number;
	readonly random: utils.Random;
	/**
	Runs a function once after a delay.
	*/
	readonly schedule: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Runs a function at an interval.
	*/
	readonly repeat: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Disk of the control role; the real one when absent. Tests pass one that is slow, full or failing.
	*/
	readonly disk?: replication.Disk;
	/**
	Ends the process after a defect: a restart brings it to a known state, while a process that continues could answer wrongly.
	*/
	readonly fail: (error: Error) => void;
};

/**
Returns the peer addresses of other hosts from the settings: seeds and initial control members.
*/
export function getSeeds({peerAddress, seeds, initialControl}: HostSettings): readonly core.Address[] {
	return [...seeds, ...initialControl.map(initial => initial.address)]
		.filter(seed => seed.ip !== peerAddress.ip || seed.port !== peerAddress.port);
}

/**
Returns the other hosts that are alive or suspected.
*/
export function getOtherMembers(context: HostContext): readonly Member[] {
	return context.store.read(state => state.members.values()
		.filter(member => member.id !== context.settings.hostId && (member.state === 'alive' || member.state === 'suspect'))
		.toArray());
}

/**
Returns the peer address of a host from membership or, failing that, from the settings; undefined when unknown.
*/
export function findPeerAddress(context: HostContext, host: core.HostId): core.Address | undefined {
	const member = context.store.read(state => state.members.get(host));
	return member?.peerAddress ?? context.settings.initialControl.find(initial => initial.id === host)?.address;
}
