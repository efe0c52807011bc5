/**
Cost of the expected delay: how slow an upstream is, and how many of its slots are held.
*/
import {getSlowness, type Upstream} from '../upstreams.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {CostContext} from './term.ts';

export function getLoadCost(upstream: Upstream, _request: SlotRequest, {now}: CostContext): number {
	const load = (upstream.heldSlots.size + 1) / upstream.candidate.slots;
	return getSlowness(upstream, now) * (1 + load);
}
