/**
The floor that bounds ejections: the rule of the core, under the names of this package.
*/
export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	type UpstreamCounts,
} from 'wagtailroute-core';
