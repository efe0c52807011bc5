/**
Cost of the doubt about an upstream: requests avoid one that has just failed where there are others.
*/
import {getDoubt, type Upstream} from '../upstreams.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {CostContext} from './term.ts';

export function getDoubtCost(upstream: Upstream, _request: SlotRequest, {now}: CostContext): number {
	return getDoubt(upstream, now) * upstream.policy.doubtCost;
}
