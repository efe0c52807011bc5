/**
Instances as a dispatcher takes them.
*/
import type * as dispatch from 'wagtailroute-dispatch';
import type * as instances from 'wagtailroute-instances';

/**
Describes an instance for a dispatcher.

@param isSilent It was not heard for several heartbeats.
*/
export function toCandidate(instance: instances.Instance, isSilent: boolean): dispatch.Candidate {
	const {
		upstream, address, failureDomain, slots, state, warmAt,
	} = instance;
	return {
		upstream, address, failureDomain, slots, isDraining: state === 'draining', isSilent, warmAt,
	};
}
