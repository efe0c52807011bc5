/**
Chooses the pool from which an entry host requests slots: that of its own failure domain if overload control is on and every failure domain with upstreams
of the service, the own one among them, has enough of them, otherwise the undivided service.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
import {MIN_POOL_UPSTREAMS} from '../constants.ts';
import type {FleetContext} from '../context.ts';
import type {OverloadControl} from '../overload-control.ts';

/**
Chooses pools for one entry host.
*/
export type PoolChoice = {
	/**
	Returns the failure domain of the pool; undefined for the undivided service.
	*/
	readonly find: (service: core.ServiceName) => core.FailureDomain | undefined;
	/**
	Has to be called when instances of a service have changed.
	*/
	readonly refresh: (service: core.ServiceName) => void;
};

/**
What the choice depends on.
*/
export type PoolChoiceOptions = {
	readonly failureDomain: core.FailureDomain;
	readonly overloadControl: OverloadControl;
	readonly listCandidates: (service: core.ServiceName) => readonly dispatch.Candidate[];
	/**
	Upstreams that each pool of a service needs for the service to be divided; a divided one stays so with half of them, so that single upstreams that come
	and go don't change the division.
	*/
	readonly minUpstreams?: number;
};

/**
Creates a choice that has read no instances.
*/
export function createPoolChoice(
	{logs, metrics}: Pick<FleetContext, 'logs' | 'metrics'>,
	{
		failureDomain, overloadControl, listCandidates, minUpstreams = MIN_POOL_UPSTREAMS,
	}: PoolChoiceOptions,
): PoolChoice {
	const log = logs('pools');
	/**
	The number of upstreams in the smallest pool of a service, 0 without a pool of the own failure domain. Counted once for each change of its instances,
	since a service may have hundreds.
	*/
	const smallestPools = new Map<core.ServiceName, number>();
	const isDivided = new Map<core.ServiceName, boolean>();

	const getSmallestPool = (service: core.ServiceName) => {
		const known = smallestPools.get(service);
		if (known !== undefined) {
			return known;
		}

		const smallest = countSmallestPool(listCandidates(service), failureDomain);
		smallestPools.set(service, smallest);
		return smallest;
	};

	const logChange = (service: core.ServiceName, isNowDivided: boolean) => {
		if (isDivided.get(service) === isNowDivided) {
			return;
		}

		if (!isDivided.has(service)) {
			metrics.label({service}).registerGauge('pool_divided', () => isDivided.get(service) === true ? 1 : 0);
		}

		isDivided.set(service, isNowDivided);
		log.info('The pool from which this host requests slots has changed.', {service, pool: isNowDivided ? failureDomain : 'undivided'});
	};

	return {
		find(service) {
			if (!overloadControl.isOn()) {
				return undefined;
			}

			const minimum = isDivided.get(service) === true ? minUpstreams / 2 : minUpstreams;
			const isLargeEnough = getSmallestPool(service) >= minimum;
			logChange(service, isLargeEnough);
			return isLargeEnough ? failureDomain : undefined;
		},
		refresh(service) {
			smallestPools.delete(service);
		},
	};
}

function countSmallestPool(candidates: readonly dispatch.Candidate[], ownDomain: core.FailureDomain): number {
	const counts = new Map<core.FailureDomain, number>();
	for (const {failureDomain, isDraining} of candidates) {
		counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + (isDraining ? 0 : 1));
	}

	return Math.min(counts.get(ownDomain) ?? 0, ...counts.values());
}
