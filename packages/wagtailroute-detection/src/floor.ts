/**
The floor that bounds ejections: the rule of the core, as detection and its benches ask for it.
*/
import * as core from 'wagtailroute-core';

export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	type UpstreamCounts,
} from 'wagtailroute-core';

/**
Says whether one more ejection may be granted.
*/
export function isEjectionAllowed(counts: core.UpstreamCounts): boolean {
	return core.getEjectionAllowance(counts) >= 1;
}
