/**
What every part of a host is given: its settings, the calls between hosts, the current snapshot of its state, time and
logs. Parts know each other only through the snapshot and through the methods that they register.
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
A host of the fleet as this host sees it.
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
	Random name of the process: a restart changes it.
	*/
	readonly boot: string;
};

/**
The state of a host, replaced as a whole by each update.
*/
export type HostState = {
	/**
	The catalogue in force here.
	*/
	readonly view: catalogue.View;
	/**
	All known hosts, this one included.
	*/
	readonly members: ReadonlyMap<core.HostId, Member>;
	/**
	Carriers of each service.
	*/
	readonly carriers: ReadonlyMap<core.ServiceName, readonly core.HostId[]>;
	readonly isDraining: boolean;
};

/**
Commands that one part gives another without knowing it.
*/
export type HostCommands = {
	/**
	Another host was heard to have a newer catalogue: fetch it from there.
	*/
	readonly 'fetch-catalogue': {readonly address: core.Address; readonly revision: catalogue.Revision};
};

/**
What every part of a host is given.
*/
export type HostContext = {
	readonly settings: HostSettings;
	/**
	Random name of this process.
	*/
	readonly boot: string;
	readonly peer: peer.Peer;
	readonly store: core.SnapshotStore<HostState>;
	readonly commands: core.CommandRegistry<HostCommands>;
	/**
	The routes of the catalogue in force.
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
	Runs once after a delay.
	*/
	readonly schedule: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Runs again and again.
	*/
	readonly repeat: (milliseconds: number, run: () => void) => utils.Teardown;
	/**
	Disk of the control role; the real one when absent. Tests give one that is slow, full or failing.
	*/
	readonly disk?: replication.Disk;
	/**
	Ends the process after a defect: it restarts in a known state, while going on could tell lies.
	*/
	readonly fail: (error: Error) => void;
};

/**
Returns the peer addresses that a host is told of by its settings, without its own.
*/
export function getSeeds({peerAddress, seeds, initialControl}: HostSettings): readonly core.Address[] {
	return [...seeds, ...initialControl.map(initial => initial.address)]
		.filter(seed => seed.ip !== peerAddress.ip || seed.port !== peerAddress.port);
}

/**
Returns the other hosts that are believed to run.
*/
export function getOtherMembers(context: HostContext): readonly Member[] {
	return context.store.read(state => state.members.values()
		.filter(member => member.id !== context.settings.hostId && (member.state === 'alive' || member.state === 'suspect'))
		.toArray());
}

/**
Returns the peer address of a host, if any is known.
*/
export function findPeerAddress(context: HostContext, host: core.HostId): core.Address | undefined {
	const member = context.store.read(state => state.members.get(host));
	return member?.peerAddress ?? context.settings.initialControl.find(initial => initial.id === host)?.address;
}
