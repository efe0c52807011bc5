/**
Chooses the pool from which an entry host requests slots: that of its own failure domain if overload control is on and the domain has upstreams of the
service that accept requests, otherwise the undivided service.
*/
import type * as core from 'wagtailroute-core';
import type * as dispatch from 'wagtailroute-dispatch';
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
};

/**
Creates a choice that has read no instances.
*/
export function createPoolChoice(
	{logs, metrics}: Pick<FleetContext, 'logs' | 'metrics'>,
	{failureDomain, overloadControl, listCandidates}: PoolChoiceOptions,
): PoolChoice {
	const log = logs('pools');
	/**
	Whether the own failure domain has upstreams of a service. Read once for each change of its instances, since a service may have hundreds.
	*/
	const hasNearUpstreams = new Map<core.ServiceName, boolean>();
	const isDivided = new Map<core.ServiceName, boolean>();

	const hasNear = (service: core.ServiceName) => {
		const known = hasNearUpstreams.get(service);
		if (known !== undefined) {
			return known;
		}

		const isNear = listCandidates(service).some(candidate => candidate.failureDomain === failureDomain && !candidate.isDraining);
		hasNearUpstreams.set(service, isNear);
		return isNear;
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

			const isNear = hasNear(service);
			logChange(service, isNear);
			return isNear ? failureDomain : undefined;
		},
		refresh(service) {
			hasNearUpstreams.delete(service);
		},
	};
}
