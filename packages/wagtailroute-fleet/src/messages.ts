/**
The messages between the hosts of a fleet, by method. Each is a JSON-RPC call or notification over a link.
*/
import type * as allotments from 'wagtailroute-allotments';
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import type * as generations from 'wagtailroute-generations';
import type * as instances from 'wagtailroute-instances';
import type * as replication from 'wagtailroute-replication';
import type {DirectoryTable} from './directory-table.ts';
import type {ControlHost, StandbyHost} from './settings.ts';

/**
Names of the methods.
*/
export const METHODS = {
	hello: 'fleet.hello',
	state: 'fleet.state',
	controls: 'fleet.controls',
	group: 'group.message',
	propose: 'group.propose',
	readGeneration: 'generation.read',
	generationVersion: 'generation.version',
	fetchGeneration: 'generation.fetch',
	heard: 'instances.heard',
	listInstances: 'instances.list',
	followInstances: 'instances.follow',
	instancesChanged: 'instances.changed',
	retired: 'instances.retired',
	route: 'dispatch.route',
	organisation: 'dispatch.organisation',
	ask: 'dispatch.ask',
	answer: 'dispatch.answer',
	end: 'dispatch.end',
	cancel: 'dispatch.cancel',
	hold: 'dispatch.hold',
	believe: 'dispatch.believe',
	beliefNews: 'dispatch.belief-news',
	beliefs: 'dispatch.beliefs',
	advertised: 'dispatch.advertised',
	updates: 'dispatch.updates',
	use: 'allotments.use',
	standbys: 'dispatch.standbys',
	directory: 'fleet.directory',
	probe: 'dispatch.probe',
} as const;

/**
What an entry host says of itself.
*/
export type EntryState = {
	readonly trafficAddress: core.Address;
	readonly linkAddress: core.Address;
	/**
	It has a generation, and is not stopping.
	*/
	readonly isReady: boolean;
	/**
	Part of its processor or link that is in use, whichever is more, 0 and up.
	*/
	readonly load: number;
};

/**
The first message of a link.
*/
export type Hello = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	Absent for a control host.
	*/
	readonly entry?: EntryState;
	/**
	Milliseconds since an entry host started; absent for a control host.
	*/
	readonly runningMilliseconds?: number;
	/**
	Present for a control host.
	*/
	readonly control?: ControlHost;
};

/**
The answer to it.
*/
export type Welcome = {
	readonly failureDomain: core.FailureDomain;
	/**
	The control hosts that the answering one has links to, itself included.
	*/
	readonly controls: readonly ControlHost[];
	readonly standbys: readonly StandbyHost[];
	readonly directory: DirectoryTable;
	/**
	Version of its generation, 0 when it has none.
	*/
	readonly version: number;
};

/**
A heartbeat on its way to the other control hosts.
*/
export type RelayedHeartbeat = instances.Heartbeat & {
	/**
	Milliseconds since it was heard.
	*/
	readonly ageMilliseconds: number;
};

/**
What a heartbeat that changes nothing says: its instance, its sequence number and the milliseconds since it was heard.
*/
export type RefreshedHeartbeat = readonly [upstream: core.UpstreamId, sequence: number, age: number];

/**
Heartbeats on their way to the other control hosts.
*/
export type HeartbeatBatch = {
	readonly news: readonly RelayedHeartbeat[];
	readonly refreshed: readonly RefreshedHeartbeat[];
};

/**
Instances that are new or changed, and those that were forgotten.
*/
export type InstanceChanges = {
	readonly heard: readonly RelayedHeartbeat[];
	readonly forgotten: readonly core.UpstreamId[];
	readonly retirements: readonly generations.Retirement[];
};

/**
The first answer to an ask. `wait`: the final one follows as a message. `elsewhere`: this host knows no upstream of the service, since it
has just started; others may.
*/
export type SlotAnswer =
	| {
		readonly kind: 'grant';
		readonly upstream: core.UpstreamId;
		readonly address: core.Address;
		readonly isTrial: boolean;
	}
	| {readonly kind: 'refuse'; readonly reason: dispatch.RefusalReason; readonly retryAfterMilliseconds: number}
	| {readonly kind: 'wait'}
	| {readonly kind: 'elsewhere'};

/**
An answer that ends an ask.
*/
export type SlotDecision = Extract<SlotAnswer, {kind: 'grant' | 'refuse'}>;

/**
The end of a granted request.
*/
export type GrantEnd = {
	readonly id: dispatch.AskId;
	readonly ending: dispatch.Ending;
	readonly milliseconds: number;
};

/**
The places that a host holds of a service.
*/
export type HandoverReport = {
	readonly service: core.ServiceName;
	readonly places: readonly dispatch.HeldPlace[];
	/**
	What answers to the host advertised; absent: nothing.
	*/
	readonly updates?: readonly dispatch.UpstreamUpdate[];
	/**
	All that the host's callers were admitted by other dispatchers in the last window; absent: it was told before, or is not known.
	*/
	readonly uses?: readonly allotments.PastUse[];
	/**
	Entry hosts that serve callers, as far as the host knows.
	*/
	readonly entryHosts?: number;
};

/**
What upstreams of a service advertised.
*/
export type ServiceUpdates = {
	readonly service: core.ServiceName;
	readonly updates: readonly dispatch.UpstreamUpdate[];
};

/**
What a dispatcher believes of an upstream.
*/
export type Belief = {
	readonly service: core.ServiceName;
	readonly upstream: core.UpstreamId;
	readonly doubt: number;
};

/**
A command on its way to the leader, and its answer. `unknown`: it may have been taken.
*/
export type ProposalAnswer =
	| {readonly kind: 'applied'; readonly version: number}
	| {readonly kind: 'not-leader'; readonly leader: core.HostId | null}
	| {readonly kind: 'unknown'};

/**
The answer to a read of the newest generation.
*/
export type ReadAnswer =
	| {readonly kind: 'read'; readonly document: string | null}
	| {readonly kind: 'not-leader'; readonly leader: core.HostId | null};

/**
A message of the replicated group.
*/
export type GroupMessage = replication.GroupMessage;

/**
A generation as entry hosts get it; null before the first.
*/
export type FetchedGeneration = {readonly generation: generations.Generation | null};

