/**
Raft replication: an engine as a pure state machine, its stores, and a runner that connects them to timers and messages.
*/
export {
	createDurableState,
	createReplica,
	createSettings,
	getNextTick,
	stepReplica,
} from './engine.ts';
export {
	type Answer,
	type DurableState,
	type FencingToken,
	type Proposal,
	type RefusalReason,
	type Replica,
	type ReplicaEffect,
	type ReplicaEvent,
	type ReplicaSettings,
	type Role,
	type Write,
} from './replica.ts';
export type {
	Entry,
	Message,
	Snapshot,
} from './messages.ts';
export {
	createMemberId,
	getMemberHost,
	type Member,
	type MemberId,
	type MemberRole,
	type MembershipChange,
} from './members.ts';
export {type ObservedMember, planRepair, type WantedHost} from './repair.ts';
export {
	applyWrite,
	createVolatileStore,
	type Store,
	type StoreFailure,
} from './store.ts';
export {createDurableStore} from './durable-store.ts';
export {createDisk, type Disk, type DiskFile} from './disk.ts';
export {
	type Announcement,
	type Applied,
	createGroup,
	type InitialMembers,
	type Group,
	type GroupFailure,
	type GroupMessage,
	type GroupOptions,
	type GroupStatus,
	type StateMachine,
} from './group.ts';
export {observeMembers} from './observation.ts';
export {chooseMembers, type MemberChoiceOptions, type WantedMember} from './voters.ts';
