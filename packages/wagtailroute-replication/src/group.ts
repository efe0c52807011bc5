/**
A group as its user sees it: what it needs, what it offers, and its start from what the store holds.
*/
import * as crypto from 'node:crypto';
import * as results from 'ts-results-es';
import type * as core from 'wagtailroute-core';
import type * as utils from 'wagtailroute-utils';
import * as engine from './engine.ts';
import * as members from './members.ts';
import type * as messages from './messages.ts';
import type * as repair from './repair.ts';
import type * as replica from './replica.ts';
import * as runner from './runner.ts';
import type * as stores from './store.ts';

/**
What a group replicates. Commands and snapshots are JSON values; `apply` must be deterministic and must not throw: a command
that can't be carried out is answered by a value that says so.
*/
export type StateMachine = {
	readonly apply: (command: unknown, token: replica.FencingToken) => unknown;
	readonly takeSnapshot: () => unknown;
	readonly restoreSnapshot: (state: unknown) => void;
};

/**
Sent by a host that is not a member, or hears no leader, so that the leader learns its incarnation.
*/
export type Announcement = {
	readonly kind: 'announce';
	readonly group: string;
	readonly from: members.MemberId;
	/**
	The member last heard from at the receiving host; null if none was.
	*/
	readonly to: members.MemberId | null;
	/**
	The sender's log is empty: it never took part in this group.
	*/
	readonly isEmpty: boolean;
};

/**
Any message between hosts of a group.
*/
export type GroupMessage = messages.Message | Announcement;

/**
`not-leader` and `refused`: not taken, so a resend is safe. `unknown`: may have been taken. `closed`: this group was closed
or its store failed; what was proposed before may have been taken.
*/
export type GroupFailure = core.Failure<'not-leader' | 'refused' | 'unknown' | 'closed'> & {
	/**
	The leader's host, if known.
	*/
	readonly leader?: core.HostId;
	readonly reason?: replica.RefusalReason;
};

/**
A command's result with its place in the order.
*/
export type Applied = {
	readonly value: unknown;
	readonly token: replica.FencingToken;
};

/**
The hosts of a group that may have to be created. It is safe to give them at every start; see the module `formation`.
*/
export type InitialMembers = {
	readonly hosts: readonly core.HostId[];
};

/**
What a group needs.
*/
export type GroupOptions = {
	readonly group: string;
	readonly host: core.HostId;
	readonly store: stores.Store;
	readonly stateMachine: StateMachine;
	readonly send: (to: core.HostId, message: GroupMessage) => void;
	/**
	Monotonic time in milliseconds.
	*/
	readonly clock: () => number;
	readonly random: utils.Random;
	readonly schedule: (delayMs: number, run: () => void) => utils.Teardown;
	readonly initialMembers?: InitialMembers;
	/**
	Hosts to announce this one to while it is not a member or hears no leader.
	*/
	readonly getSeeds?: () => readonly core.HostId[];
	readonly createIncarnation?: () => string;
	readonly settings?: Partial<replica.ReplicaSettings>;
	/**
	Told when the store failed: this replica stopped and its process should be restarted or repaired.
	*/
	readonly onStopped?: (failure: stores.StoreFailure) => void;
};

/**
What a group tells of itself.
*/
export type GroupStatus = {
	readonly self: members.MemberId;
	readonly role: replica.Role;
	readonly term: number;
	readonly leader: core.HostId | null;
	readonly members: readonly repair.ObservedMember[];
	readonly commit: number;
	readonly applied: number;
};

/**
A running replica of a group.
*/
export type Group = {
	readonly receive: (message: GroupMessage) => void;
	/**
	Proposes a command; answered once it is committed and applied here.
	*/
	readonly propose: (command: unknown) => Promise<results.Result<Applied, GroupFailure>>;
	/**
	Answered once everything accepted before the call is applied here; a read after it is linearizable.
	*/
	readonly readBarrier: () => Promise<results.Result<replica.FencingToken, GroupFailure>>;
	readonly changeMembers: (change: members.MembershipChange) => Promise<results.Result<replica.FencingToken, GroupFailure>>;
	/**
	Makes the next step, if any, towards the wanted hosts: call it on the leader every second or so. Hosts not named are
	removed.
	*/
	readonly reconcile: (
		wanted: ReadonlyArray<Pick<repair.WantedHost, 'host' | 'role'>>,
	) => Promise<results.Result<members.MembershipChange | undefined, GroupFailure>>;
	readonly getStatus: () => GroupStatus;
	readonly close: () => Promise<void>;
};

const INCARNATION_BYTES = 6;

/**
Loads the store and starts the replica.
*/
export async function createGroup(options: GroupOptions): Promise<results.Result<Group, stores.StoreFailure>> {
	const loaded = await options.store.load();
	if (loaded.isErr()) {
		return loaded;
	}

	const restored = loaded.value;
	if (restored !== undefined) {
		return results.Ok(runner.runReplica(options, restored));
	}

	const createIncarnation = options.createIncarnation ?? (() => crypto.randomBytes(INCARNATION_BYTES).toString('hex'));
	const created = engine.createDurableState(members.createMemberId(options.host, createIncarnation()), []);
	const stored = await options.store.create(created);
	return stored.isErr() ? stored : results.Ok(runner.runReplica(options, created));
}
