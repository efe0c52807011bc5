/**
Instances in the form that a dispatcher reads.
*/
import type * as dispatch from 'wagtailroute-dispatch';
import type * as instances from 'wagtailroute-instances';

/**
Converts an instance.

@param isSilent Whether several of its heartbeats were missed.
*/
export function toCandidate(instance: instances.Instance, isSilent: boolean): dispatch.Candidate {
	const {
		upstream, address, failureDomain, slots, state, warmAt,
	} = instance;
	return {
		upstream, address, failureDomain, slots, isDraining: state === 'draining', isSilent, warmAt,
	};
}
