/**
The floor that bounds ejections: the rule of the core, as detection and its benches ask for it.
*/
import * as core from 'wagtailroute-core';

export {
	getEjectionAllowance,
	getRequiredHealthy as getRequiredUpstreams,
	type HealthyFloor,
	type UpstreamCounts as Population,
} from 'wagtailroute-core';

/**
Says whether one more ejection may be granted.
*/
export function isGrantAllowed(counts: core.UpstreamCounts): boolean {
	return core.getEjectionAllowance(counts) >= 1;
}
