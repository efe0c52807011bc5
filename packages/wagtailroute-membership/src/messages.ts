/**
Messages between hosts, as JSON documents for datagrams that may be lost, repeated and reordered.

Every update carries its version and every answer the sequence number of what it answers, so that a repeated message
changes nothing.
*/
import type * as core from 'wagtailroute-core';
import type {Member} from './members.ts';

/**
A host's record on the wire; addresses as `ip:port`.
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
News of a host.
*/
export type Update =
	| {readonly kind: 'alive'; readonly record: WireRecord}
	| {readonly kind: 'suspect'; readonly id: core.HostId; readonly incarnation: number; readonly by: core.HostId}
	| {readonly kind: 'dead' | 'left'; readonly id: core.HostId; readonly incarnation: number};

/**
What each message tells of its sender.
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
The contents of a message.
*/
export type MessageBody =
	| {readonly kind: 'ping'; readonly target: core.HostId; readonly sequence: number}
	/**
	Answers a ping; `target` is the host that answered when the sender pinged on the receiver's behalf.
	*/
	| {readonly kind: 'ack'; readonly sequence: number; readonly target?: core.HostId}
	/**
	Asks to ping the target on the sender's behalf.
	*/
	| {
		readonly kind: 'request';
		readonly target: core.HostId;
		readonly address: string;
		readonly sequence: number;
	}
	/**
	Answers a request at once: the way to the helper and back works, whatever becomes of the target.
	*/
	| {readonly kind: 'relaying'; readonly sequence: number}
	| {readonly kind: 'gossip'}
	/**
	The sender's digest of all groups, in base64.
	*/
	| {readonly kind: 'digest'; readonly hashes: string}
	/**
	Answers a digest that is the receiver's own.
	*/
	| {readonly kind: 'same'}
	/**
	Versions of the hosts of a group; `whole` when all of them are in this message.
	*/
	| {
		readonly kind: 'versions';
		readonly bucket: number;
		readonly whole: boolean;
		readonly versions: Readonly<Record<core.HostId, number>>;
	}
	/**
	Asks for records.
	*/
	| {readonly kind: 'fetch'; readonly ids: readonly core.HostId[]};

/**
A message: its content, who sent it, and news that travel along.
*/
export type Message = MessageBody & {readonly from: Sender; readonly updates?: readonly Update[]};

/**
What happens to the machine.
*/
export type Event =
	/**
	To be sent every 50 to 100 ms.
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
	The host is about to stop; ticks may follow for a moment, so that the news goes out.
	*/
	| {readonly kind: 'leave'};

/**
What is to be done.
*/
export type Effect =
	| {readonly kind: 'send'; readonly to: core.Address; readonly message: Message}
	/**
	The record of a host is another one now; not sent for load alone.
	*/
	| {readonly kind: 'changed'; readonly member: Member}
	/**
	A host that was dead or left is no longer listed.
	*/
	| {readonly kind: 'forgotten'; readonly id: core.HostId};
