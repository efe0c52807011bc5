/**
Instances of upstreams by their heartbeats.
*/
export {
	createInstanceTable,
	type Heartbeat,
	type Instance,
	type InstanceState,
	type InstanceTable,
	type HeartbeatOutcome,
} from './instances.ts';
export {parseUpstreamId, type ServerStart, createUpstreamId} from './upstream-ids.ts';
