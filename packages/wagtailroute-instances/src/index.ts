/**
Instances of upstreams by their heartbeats.
*/
export {
	createInstanceTable,
	type Heartbeat,
	type Instance,
	type InstanceState,
	type InstanceTable,
	type Reception,
} from './instances.ts';
export {getLifetime, type Lifetime, nameInstance} from './lifetimes.ts';
