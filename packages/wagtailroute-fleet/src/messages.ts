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
Names of the methods on the wire.
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
	unfollowInstances: 'instances.unfollow',
	instancesChanged: 'instances.changed',
	retired: 'instances.retired',
	fetchRetirements: 'instances.retirements',
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
	room: 'dispatch.room',
	use: 'allotments.use',
	standbys: 'dispatch.standbys',
	directory: 'fleet.directory',
	probe: 'dispatch.probe',
	crashes: 'crashes.records',
	losses: 'crashes.losses',
} as const;

/**
The state that an entry host reports to the control hosts.
*/
export type EntryState = {
	readonly trafficAddress: core.Address;
	readonly linkAddress: core.Address;
	/**
	Address to which other entry hosts may forward requests; absent for a host that accepts none.
	*/
	readonly forwardingAddress?: core.Address;
	/**
	Whether it has a generation, and is not stopping.
	*/
	readonly isReady: boolean;
	/**
	It reaches no upstream, and forwards the requests of its callers to other entry hosts.
	*/
	readonly isIsolated?: boolean;
	/**
	Part of its processor or, weighted, of its link that is in use, whichever is more; 0 and up.
	*/
	readonly load: number;
};

/**
The first message of the host that opens a link.
*/
export type Hello = {
	readonly id: core.HostId;
	readonly failureDomain: core.FailureDomain;
	/**
	State of an entry host; absent for a control host.
	*/
	readonly entry?: EntryState;
	/**
	Milliseconds since an entry host started; absent for a control host.
	*/
	readonly runningMilliseconds?: number;
	/**
	Address and failure domain of a control host; absent for an entry host.
	*/
	readonly control?: ControlHost;
};

/**
The answer to a hello.
*/
export type Welcome = {
	readonly failureDomain: core.FailureDomain;
	/**
	The control hosts that the answering host has links to, itself included.
	*/
	readonly controls: readonly ControlHost[];
	readonly standbys: readonly StandbyHost[];
	readonly directory: DirectoryTable;
	/**
	Version of the answering host's generation, 0 when it has none.
	*/
	readonly version: number;
	/**
	Log index of the last retirement that a control host knows, 0 before the first; absent from older builds and standbys.
	*/
	readonly retirementIndex?: number;
};

/**
A heartbeat that a control host received and passes on.
*/
export type RelayedHeartbeat = instances.Heartbeat & {
	/**
	Milliseconds since the heartbeat was received.
	*/
	readonly ageMilliseconds: number;
};

/**
A heartbeat that shows only that its instance still runs: the instance, the sequence number and the milliseconds since it was received.
*/
export type RefreshedHeartbeat = readonly [upstream: core.UpstreamId, sequence: number, age: number];

/**
Heartbeats that a control host passes on to the others: `news` with all their fields, `refreshed` with their
sequence number and age only.
*/
export type HeartbeatBatch = {
	readonly news: readonly RelayedHeartbeat[];
	readonly refreshed: readonly RefreshedHeartbeat[];
};

/**
Instances that are new or changed in `heard`, those that were removed after a long silence in `forgotten`, and retirements.
*/
export type InstanceChanges = {
	readonly heard: readonly RelayedHeartbeat[];
	readonly forgotten: readonly core.UpstreamId[];
	readonly retirements: readonly generations.Retirement[];
};

/**
All retirements after a log index, up to another one.
*/
export type RetirementChanges = {
	readonly retirements: readonly generations.Retirement[];
	readonly after: number;
	readonly index: number;
};

/**
Asks a control host for the retirements after a log index.
*/
export type RetirementFetch = {readonly after: number};

/**
The first answer to a slot request. `wait`: the decision follows as a message. `elsewhere`: the dispatcher knows no upstream of the service,
since it has just started; other hosts may know some. With a pool, the failure domain: that pool of the service has free slots.
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
	| {readonly kind: 'elsewhere'; readonly pool?: core.FailureDomain};

/**
An answer that ends a slot request.
*/
export type SlotDecision = Extract<SlotAnswer, {kind: 'grant' | 'refuse'}>;

/**
How a granted request ended.
*/
export type GrantEnd = dispatch.Outcome & {
	readonly id: dispatch.SlotRequestId;
};

/**
What a host reports to a dispatcher of a service that it turns to: the granted slots that it holds, called places on the wire, and what the
dispatcher may not know of the service.
*/
export type HandoverReport = {
	readonly service: core.ServiceName;
	/**
	Failure domain of the pool from which the host requests slots; absent for the undivided service. The slots held are those of the whole service.
	*/
	readonly pool?: core.FailureDomain;
	readonly places: readonly dispatch.HeldSlotReport[];
	/**
	What answers to the host's requests advertised; absent when there is nothing.
	*/
	readonly updates?: readonly dispatch.UpstreamUpdate[];
	/**
	What other dispatchers admitted of the host's callers in the last window; absent when it was reported before or is not known.
	*/
	readonly uses?: readonly allotments.PastUsage[];
	/**
	Number of entry hosts that serve callers, as far as the reporting host knows.
	*/
	readonly entryHosts?: number;
};

/**
What the upstreams of a service advertise.
*/
export type ServiceUpdates = {
	readonly service: core.ServiceName;
	readonly updates: readonly dispatch.UpstreamUpdate[];
};

/**
Capacity of a pool, as its dispatcher tells the other control hosts: free slots and queued requests; 1 if none of its slots are requested at present.
*/
export type RoomReport = readonly [service: core.ServiceName, pool: core.FailureDomain, free: number, queued: number, isIdle?: 1];

/**
A dispatcher's doubt about an upstream: 0 for none, higher the more its failures speak against it.
*/
export type Belief = {
	readonly service: core.ServiceName;
	readonly upstream: core.UpstreamId;
	readonly doubt: number;
};

/**
A request that was lost at an upstream, or is left unanswered by it, which then did not answer a health check either.
*/
export type LossReport = {
	readonly fingerprint: string;
	readonly upstream: core.UpstreamId;
	/**
	Milliseconds since the loss, or since the unanswered request was sent.
	*/
	readonly ageMilliseconds: number;
};

/**
The answer of a control host to a proposed command. `unknown`: the command may have been applied.
*/
export type ProposalAnswer =
	| {readonly kind: 'applied'; readonly version: number}
	| {readonly kind: 'not-leader'; readonly leader: core.HostId | null}
	| {readonly kind: 'unknown'};

/**
The answer to a read of the newest generation: its document in encoded form, null before the first generation.
*/
export type ReadAnswer =
	| {readonly kind: 'read'; readonly encodedDocument: string | null}
	| {readonly kind: 'not-leader'; readonly leader: core.HostId | null};

/**
A message between the replicas of the control group.
*/
export type GroupMessage = replication.GroupMessage;

/**
What an entry host fetches. An entry host of an older build does not ask for the encoded form.
*/
export type GenerationFetch = {readonly isEncoded?: boolean};

/**
A generation as entry hosts fetch it; null before the first. Only the form that was asked for is set.
*/
export type FetchedGeneration = {
	readonly encodedGeneration?: string | null;
	readonly generation?: generations.Generation | null;
};

