/**
Membership: which hosts of the fleet run.
*/
export type {HostDescription, Member, MemberState} from './members.ts';
export type {
	MessageBody,
	Effect,
	Event,
	Message,
	Sender,
	Update,
	WireRecord,
} from './messages.ts';
export {createMembership, type MembershipConfig, type MembershipState} from './state.ts';
export {stepMembership} from './machine.ts';
export {
	getAliveMembers,
	getMembers,
	getMembersById,
	getSelf,
	hasPathFault,
	isIsolated,
	isJoining,
	isReachable,
} from './queries.ts';
