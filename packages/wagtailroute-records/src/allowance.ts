/**
Re-exports the rule of `wagtailroute-core` that limits ejections by a service's healthy floor.
*/
export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	type UpstreamCounts,
} from 'wagtailroute-core';
