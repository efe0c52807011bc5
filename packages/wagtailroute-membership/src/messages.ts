/**
Messages between hosts, as JSON documents for datagrams that may be lost, repeated and reordered.

Every update carries the version of the record, and every answer the sequence number of the message that it answers, so
that a repeated message changes nothing.
*/
import type * as core from 'wagtailroute-core';
import type {Member} from './members.ts';

/**
A host's record on the wire: addresses as `ip:port`, roles separated by commas.
*/
export type WireRecord = {
	readonly id: core.HostId;
	readonly boot: string;
	readonly incarnation: number;
	readonly peer: string;
	readonly traffic: string;
	readonly admin: string;
	readonly domain: core.FailureDomain;
	readonly region: core.Region;
	readonly roles: string;
	readonly revision: number;
	readonly draining?: true;
	readonly load?: number;
};

/**
An update of the membership: a record of a running host, or its new state at an incarnation; `by` is a host whose own
probe failed.
*/
export type Update =
	| {readonly kind: 'alive'; readonly record: WireRecord}
	| {readonly kind: 'suspect'; readonly id: core.HostId; readonly incarnation: number; readonly by: core.HostId}
	| {readonly kind: 'dead' | 'left'; readonly id: core.HostId; readonly incarnation: number};

/**
Sender of a message: its current version, peer address, catalogue revision and load.
*/
export type Sender = {
	readonly id: core.HostId;
	readonly boot: string;
	readonly incarnation: number;
	readonly peer: string;
	readonly revision: number;
	readonly load?: number;
};

/**
The body of a message, by its kind.
*/
export type MessageBody =
	| {readonly kind: 'ping'; readonly target: core.HostId; readonly sequence: number}
	/**
	Answers a ping. With `target`, a relay reports that this host answered the ping sent on the receiver's behalf.
	*/
	| {readonly kind: 'ack'; readonly sequence: number; readonly target?: core.HostId}
	/**
	Ping request: asks the receiver to ping the target on the sender's behalf.
	*/
	| {
		readonly kind: 'request';
		readonly target: core.HostId;
		readonly address: string;
		readonly sequence: number;
	}
	/**
	Answers a ping request at once: the path to the relay and back works, whether or not the target answers.
	*/
	| {readonly kind: 'relaying'; readonly sequence: number}
	| {readonly kind: 'gossip'}
	/**
	The sender's digest of all buckets, in base64.
	*/
	| {readonly kind: 'digest'; readonly hashes: string}
	/**
	Answers a digest that equals the one of the answering host.
	*/
	| {readonly kind: 'same'}
	/**
	Encoded versions of the hosts of a bucket; `whole` when all of them are in this message.
	*/
	| {
		readonly kind: 'versions';
		readonly bucket: number;
		readonly whole: boolean;
		readonly versions: Readonly<Record<core.HostId, number>>;
	}
	/**
	Requests the records of hosts.
	*/
	| {readonly kind: 'fetch'; readonly ids: readonly core.HostId[]};

/**
A message: its body, its sender, and the updates piggybacked on it.
*/
export type Message = MessageBody & {readonly from: Sender; readonly updates?: readonly Update[]};

/**
Inputs of the state machine.
*/
export type Event =
	/**
	Due every 50 to 100 ms.
	*/
	| {readonly kind: 'tick'}
	| {readonly kind: 'receive'; readonly message: Message}
	| {
		readonly kind: 'update-self';
		readonly draining?: boolean;
		readonly catalogueRevision?: number;
		readonly load?: number;
	}
	/**
	The host is about to stop; further ticks gossip that it left.
	*/
	| {readonly kind: 'leave'};

/**
Outputs of the state machine.
*/
export type Effect =
	| {readonly kind: 'send'; readonly to: core.Address; readonly message: Message}
	/**
	The record of a host has changed; not issued for a change of load alone.
	*/
	| {readonly kind: 'changed'; readonly member: Member}
	/**
	A dead or left host expired and is no longer listed.
	*/
	| {readonly kind: 'forgotten'; readonly id: core.HostId};
