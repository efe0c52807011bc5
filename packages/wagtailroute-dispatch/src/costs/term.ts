/**
Interface of the terms that make up the cost of an upstream.
*/
import type {ExpectedResponse} from '../response-bytes.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {Upstream} from '../upstreams.ts';

/**
State on which costs depend.
*/
export type CostContext = {
	readonly now: number;
	/**
	Whether idle upstreams are tried sooner, since requests fail and no idempotent ones came recently.
	*/
	readonly needsIdleUpstreams: boolean;
	readonly response: ExpectedResponse;
};

/**
One term of the cost. A gain is a negative cost.
*/
export type CostTerm = (upstream: Upstream, request: SlotRequest, context: CostContext) => number;
