/**
Membership in the manner of SWIM: a state machine that tracks which hosts of the fleet run, by probes, suspicions and
gossip.
*/
export type {HostDescription, Member, MemberState} from './members.ts';
export type {
	Effect,
	Event,
	Message,
	MessageBody,
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
