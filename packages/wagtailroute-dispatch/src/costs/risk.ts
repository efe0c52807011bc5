/**
Cost of the risk that an upstream is in a failure period. It rises with the ages of the requests in progress there, long before the first of them ends.
*/
import {getRisk, type Upstream} from '../upstreams.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {CostContext} from './term.ts';

export function getRiskCost(upstream: Upstream, _request: SlotRequest, {now}: CostContext): number {
	return getRisk(upstream, now) * upstream.policy.riskCost;
}
