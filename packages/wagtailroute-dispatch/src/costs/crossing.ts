/**
Cost of leaving the failure domain of the entry host.
*/
import {BYTES_PER_KIBIBYTE} from '../constants.ts';
import type {Policy} from '../policy.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {Upstream} from '../upstreams.ts';
import {isRested} from './rest.ts';
import type {CostContext} from './term.ts';

export function getCrossingCost(upstream: Upstream, request: SlotRequest, {now, response}: CostContext): number {
	const {candidate: {failureDomain}, policy} = upstream;
	if (failureDomain === request.failureDomain) {
		return 0;
	}

	// While requests fail, an idle upstream may be what is missing, whatever the bytes cost.
	const isExploring = response.largePart > 0 && response.isExplored(failureDomain) && isRested(upstream, now);
	return getDomainCost(request, isExploring ? 0 : response.bytes, policy);
}

/**
Returns the cost of an upstream in another failure domain. It grows with the bytes that cross in both directions: those of the request are known by
its class, those of the response by the measurements of its route.
*/
export function getDomainCost(
	{requestClass}: SlotRequest,
	responseBytes: number,
	{
		uploadDomainCost, domainCost, smallResponseBytes, kibibyteDomainCost, mostDomainCost,
	}: Policy,
): number {
	const requestCost = requestClass === 'upload' ? uploadDomainCost : domainCost;
	const responseCost = Math.max(0, responseBytes - smallResponseBytes) / BYTES_PER_KIBIBYTE * kibibyteDomainCost;
	return responseCost === 0 ? requestCost : Math.min(mostDomainCost, requestCost + responseCost);
}
