/**
Cost of leaving the failure domain of the entry host.
*/
import type {Policy} from '../policy.ts';
import type {SlotRequest} from '../slot-requests.ts';
import type {Upstream} from '../upstreams.ts';

export function getCrossingCost({candidate, policy}: Upstream, request: SlotRequest): number {
	return candidate.failureDomain === request.failureDomain ? 0 : getDomainCost(request, policy);
}

/**
Returns the cost of an upstream in another failure domain.
*/
export function getDomainCost({requestClass}: SlotRequest, {uploadDomainCost, domainCost}: Policy): number {
	return requestClass === 'upload' ? uploadDomainCost : domainCost;
}
