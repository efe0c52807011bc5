/**
Cost of an upstream for a request: a sum of named terms, each in a module of its own. The unit is the load of a full upstream.
*/
import type {SlotRequest} from '../slot-requests.ts';
import type {Upstream} from '../upstreams.ts';
import type {CostContext, CostTerm} from './term.ts';
import {getCrossingCost} from './crossing.ts';
import {getDoubtCost} from './doubt.ts';
import {getLoadCost} from './load.ts';
import {getRestCost} from './rest.ts';
import {getRiskCost} from './risk.ts';

export {getDomainCost} from './crossing.ts';
export {getShortfallTrialDelay, isRested} from './rest.ts';
export type {CostContext, CostTerm} from './term.ts';

const TERMS = {
	load: getLoadCost,
	crossing: getCrossingCost,
	doubt: getDoubtCost,
	rest: getRestCost,
} as const satisfies Record<string, CostTerm>;

const TERM_LIST: readonly CostTerm[] = Object.values(TERMS);

/**
Returns the sum of all terms. Without the risk, which takes longest to compute and is never negative, when the other terms reach the limit already.
*/
export function getCost(upstream: Upstream, request: SlotRequest, context: CostContext, limit = Infinity): number {
	let cost = 0;
	for (const getTerm of TERM_LIST) {
		cost += getTerm(upstream, request, context);
	}

	return cost < limit ? cost + getRiskCost(upstream, request, context) : cost;
}
