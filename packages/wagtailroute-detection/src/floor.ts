/**
The floor that limits ejections: the rule of `wagtailroute-core`, exported for the users of detection and its benches.
*/
import * as core from 'wagtailroute-core';

export {
	getEjectionAllowance,
	getRequiredHealthy,
	type HealthyFloor,
	type UpstreamCounts,
} from 'wagtailroute-core';

/**
Returns whether one more ejection may be granted.
*/
export function isEjectionAllowed(counts: core.UpstreamCounts): boolean {
	return core.getEjectionAllowance(counts) >= 1;
}
