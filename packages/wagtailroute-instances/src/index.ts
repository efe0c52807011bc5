/**
The table of upstream instances, built from their heartbeats, and the ids of instances.
*/
export {
	createInstanceTable,
	type Heartbeat,
	type HeartbeatOutcome,
	type Instance,
	type InstanceState,
	type InstanceTable,
} from './instances.ts';
export {createUpstreamId, parseUpstreamId, type ServerStart} from './upstream-ids.ts';
