/**
The public interface of a replicated group, and its start from the stored state.
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
The replicated state machine. Commands and snapshots are JSON values. `apply` must be deterministic and must not throw; for a
command that can't be carried out it returns a value that describes the failure.
*/
export type StateMachine = {
	readonly apply: (command: unknown, token: replica.FencingToken) => unknown;
	readonly takeSnapshot: () => unknown;
	readonly restoreSnapshot: (state: unknown) => void;
};

/**
Sent by a host that is not a member or has no leader, so that the leader gets to know its incarnation.
*/
export type Announcement = {
	readonly kind: 'announce';
	readonly group: string;
	readonly from: members.MemberId;
	/**
	The member last announced by the receiving host; null if there is none.
	*/
	readonly to: members.MemberId | null;
	/**
	Whether the sender's log is empty, that is, it has never been a member of this group.
	*/
	readonly isEmpty: boolean;
};

/**
Any message between hosts of a group.
*/
export type GroupMessage = messages.Message | Announcement;

/**
`not-leader` and `refused`: the request had no effect, so a retry is safe. `unknown`: the command may be committed. `closed`:
this group was closed; commands proposed before may be committed.
*/
export type GroupFailure = core.Failure<'not-leader' | 'refused' | 'unknown' | 'closed'> & {
	/**
	The leader's host, if known.
	*/
	readonly leader?: core.HostId;
	readonly reason?: replica.RefusalReason;
};

/**
The result of a committed command, with its position in the log.
*/
export type Applied = {
	readonly value: unknown;
	readonly token: replica.FencingToken;
};

/**
The first members of a group that may have to be bootstrapped. Safe to pass at every start; see the module `formation`.
*/
export type InitialMembers = {
	readonly hosts: readonly core.HostId[];
};

/**
Dependencies and settings of a group.
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
	Hosts that this one announces itself to while it is not a member or has no leader.
	*/
	readonly getSeeds?: () => readonly core.HostId[];
	readonly createIncarnation?: () => string;
	readonly settings?: Partial<replica.ReplicaSettings>;
	/**
	Called once after a store failure. The replica has stopped; its process should be restarted or its disk repaired.
	*/
	readonly onStopped?: (failure: stores.StoreFailure) => void;
};

/**
Status of a replica; `commit` and `applied` are log indexes.
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
	Proposes a command; resolves once it is committed and applied on this host.
	*/
	readonly propose: (command: unknown) => Promise<results.Result<Applied, GroupFailure>>;
	/**
	Resolves once all commands committed before the call are applied on this host; a read after it is linearizable.
	*/
	readonly readBarrier: () => Promise<results.Result<replica.FencingToken, GroupFailure>>;
	readonly changeMembers: (change: members.MembershipChange) => Promise<results.Result<replica.FencingToken, GroupFailure>>;
	/**
	Makes the next membership change, if any, towards the wanted hosts; other hosts are removed. To be called on the leader
	about every second.
	*/
	readonly reconcile: (
		wanted: ReadonlyArray<Pick<repair.WantedHost, 'host' | 'role'>>,
	) => Promise<results.Result<members.MembershipChange | undefined, GroupFailure>>;
	readonly getStatus: () => GroupStatus;
	readonly close: () => Promise<void>;
};

const INCARNATION_BYTES = 6;

/**
Loads the stored state, or creates an empty one with a new incarnation, and starts the replica.
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
